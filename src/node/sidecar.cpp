#include "node/sidecar.hpp"

#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <cstdio>
#include <utility>

#include "net/http_message.hpp"
#include "net/log.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Of the descriptors allowed: some for files, discovery, peers and the listener, the rest shared evenly
// between clients and servers, each of which may need one for a request.
constexpr std::size_t kOtherSockets = 24;
std::size_t half(std::size_t sockets) {
    return std::max<std::size_t>(8, sockets - std::min(sockets, kOtherSockets)) / 2;
}

constexpr Millis kIdleMargin = 0.07;  // of idle-close-ms: closed by us before the server does
constexpr Millis kProbeTimeout = 250;
constexpr std::size_t kBufferPart = 4;  // of the memory allowed, what bodies in passing may fill
constexpr double kGatherPart = 8;  // of the shortest aim, what an answer of unknown length may be kept back
constexpr Millis kNever = 1e15;
constexpr Millis kOtherProcessLook = 50;  // between looks for another process of this sidecar
constexpr Millis kListenAgain = 50;       // when no socket is to be had
constexpr Millis kAccepting = 500;        // of a drain: new connections come for up to 400 ms
// Of a drain. The longest deadline and 0.7 s after SIGTERM whatever is not answered may be lost (PROTOCOL,
// "Figures"): what still comes has its answer kReserve sooner, and kLinger before that connections without a
// request are ended. While one is not answered, as it came before with a longer time, it goes on and looks
// again.
constexpr Millis kHoldUp = 150;  // for so long the process may stand still, right as answers are due
constexpr Millis kReserve = kHoldUp + 20;  // and the time to write them
constexpr Millis kKillAfter = 700, kLinger = 300, kLook = 50, kLongestDrain = 60000;
// After a failure: what should have brought an answer at its deadline has not by then; 500 ms are allowed.
constexpr Millis kOverdue = 100;

// Whether the method and the key are those that the protocol gives to a class.
bool in_form(const RequestClass& kind, const DownstreamListener::RequestHead& message, bool has_body) {
    const bool keyed = !message["Idempotency-Key"].empty();
    if (kind.idempotency == Idempotency::always) return message.method() == http::verb::get && !has_body;
    return message.method() == http::verb::post && keyed == (kind.idempotency == Idempotency::with_key);
}

Millis gather(const Settings& settings) {
    Millis least = settings.classes.front().latency_objective;
    for (const RequestClass& c : settings.classes) least = std::min(least, c.latency_objective);
    return least / kGatherPart;
}

std::string decimal(double value, const char* format) {
    char text[40];
    return {text, text + std::snprintf(text, sizeof text, format, value)};
}

}  // namespace

Sidecar::Sidecar(asio::io_context& io, config::Config config)
    : io_(io),
      config_(std::move(config)),
      clock_(config_.clock_skew, config_.read_wall_clock),
      balancer_(config_.site.settings, config_.seed),
      timer_(io),
      upstream_(io,
                {config_.connect_timeout, config_.idle_close * (1 - kIdleMargin), half(config_.sockets),
                 gather(config_.site.settings)},
                budget_),
      hot_restart_timer_(io),
      listen_timer_(io),
      metrics_(config_.site.classes),
      last_call_(io),
      overdue_timer_(io) {
    budget_->limit = buffers();
    if (config_.operators) {
        try {
            operators_.emplace(io, *config_.operators,
                               OperatorListener::Callbacks{[this] { return ready(); },
                                                           [this] { return render(metrics()); }});
        } catch (const boost::system::system_error& error) {
            if (net::is_shortage(error.code())) throw;
            throw config::ConfigError("'operator' can't be listened on: " + error.code().message());
        }
        // An address of the system's choice is nobody else's.
        if (config_.listen.port() != 0) {
            hot_restart_lock_.emplace(
                HotRestartLock::temporary_folder(),
                config_.listen.address().to_string() + "-" + std::to_string(config_.listen.port()));
            watch_other_process();
        }
    }
    const bool asked = config_.site.settings.must_subscribe;
    discovery_.emplace(
        io, config_.discovery, config_.known.version, !asked, config_.drain_grace,
        Discovery::Callbacks{
            [this](const config::DiscoveryList& changes) {
                list(changes.full ? ListKind::full : ListKind::incremental, changes);
            },
            [this](const Discovery::Failure& failure) {
                give(EndpointList{
                    ListKind::failed, {}, failure.notified_within, failure.kind, failure.retry_after});
            }});
    if (config_.may_tell && config_.peer_listen)
        peers_.emplace(io, *config_.peer_listen, config_.peers, config_.peers_all,
                       [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                           give(PeerMessage{from, std::move(bytes)});
                       });
    give(Started{});
    if (config_.cluster) open_cluster();
    list(ListKind::cached, config_.known);
    config_.known = {};
    if (!asked) discovery_->watch(true);
    // Beside another process clients come here as soon as we listen: not before there is a server to send to.
    if (!halved_ || listed_ > 0) open_front();
}

void Sidecar::open_front() {
    listener_.emplace(
        io_, config_.listen, half(sockets()), config_.operators.has_value(), budget_,
        DownstreamListener::Callbacks{
            [this](DownstreamListener::IncomingRequest arrival) { arrived(std::move(arrival)); },
            [this](RequestId id) { whole(id); }, [this](RequestId id) { gone(id); },
            [this](RequestId id, bool whole) {
                const auto flight = flights_.find(id);
                if (flight == flights_.end()) return;
                metrics_.ended(flight->second.class_index, whole ? flight->second.ending : Ending::failed);
                flights_.erase(flight);
            },
            [this] {
                if (drained_) std::exchange(drained_, nullptr)();
            }});
    net::LogFields addresses{{"listen", net::written(listener_->address())}, {"pid", ::getpid()}};
    if (operators_) addresses["operator"] = net::written(operators_->address());
    if (peers_) addresses["peers"] = net::written(peers_->address());
    if (cluster_) addresses["cluster"] = net::written(cluster_->address());
    net::log(spdlog::level::info, "sidecar.listening", std::move(addresses));
}

// Beside another process this one begins to listen long after its start: what fails then, for want of a
// descriptor or memory, must not leave it without a listener.
void Sidecar::open_front_when_possible() {
    try {
        open_front();
    } catch (const boost::system::system_error& error) {
        net::log(spdlog::level::warn, "sidecar.not_listening", {{"error", error.code().message()}});
        listen_timer_.expires_after(net::span(kListenAgain));
        listen_timer_.async_wait(unless_over([this] {
            if (!listener_ && !drained_) open_front_when_possible();
        }));
    }
}

void Sidecar::open_cluster() {
    if (!config_.may_tell)
        return net::log(spdlog::level::warn, "cluster.off",
                        {{"why", "limits.may-tell forbids peer messages"}});
    cluster::Agent::Callbacks callbacks;
    callbacks.changed = [this](const cluster::View& view) {
        net::log(spdlog::level::info, "cluster.view",
                 {{"present", view.present()}, {"expected", view.expected}, {"quorum", view.quorum()}});
        give(MemberView{static_cast<std::uint32_t>(view.present()), view.quorum()});
    };
    callbacks.learnt = [](const cluster::Effects::Change& change) {
        net::LogFields fields{{"member", change.name}, {"incarnation", change.incarnation}};
        if (!change.by.empty()) fields["by"] = change.by;
        net::log(spdlog::level::info, "member." + change.what, std::move(fields));
    };
    callbacks.rejected = [this](cluster::Rejection why, const std::string& from) {
        rejected_.log(spdlog::level::warn, "cluster.rejected",
                      {{"why", cluster::name_of(why)}, {"from", from}});
    };
    try {
        cluster_.emplace(io_, *config_.cluster, config_.name, MOTHRING_VERSION, std::move(callbacks));
    } catch (const boost::system::system_error& error) {
        if (net::is_shortage(error.code())) throw;
        throw config::ConfigError("'cluster.bind' can't be listened on: " + error.code().message());
    }
}

// Two processes of one sidecar hold to its limits together: each to half of them.
std::size_t Sidecar::sockets() const { return halved_ ? config_.sockets / 2 : config_.sockets; }

std::size_t Sidecar::buffers() const {
    return config_.memory_mb * 1024 * 1024 / kBufferPart / (halved_ ? 2 : 1);
}

// While it is not known whether there is another process, the limits are read as if there were one.
void Sidecar::watch_other_process() {
    if (const OtherProcess other = hot_restart_lock_->other_lives(); other != other_process_) {
        other_process_ = other;
        log_other_process();
        if (const bool halved = other != OtherProcess::alone; halved != halved_) {
            halved_ = halved;
            budget_->limit = buffers();
            upstream_.limit_connections(half(sockets()));
            if (listener_) listener_->limit_connections(half(sockets()));
            give(ProcessOverlap{halved_});
        }
    }
    hot_restart_timer_.expires_after(net::span(kOtherProcessLook));
    hot_restart_timer_.async_wait(unless_over([this] { watch_other_process(); }));
}

void Sidecar::log_other_process() const {
    switch (other_process_) {
        case OtherProcess::alone:
            return net::log(spdlog::level::info, "hot_restart.alone", {{"limits", "all of the limits"}});
        case OtherProcess::shared:
            return net::log(spdlog::level::info, "hot_restart.shared",
                            {{"limits", "half of the limits each"}});
        case OtherProcess::unknown:
            return net::log(spdlog::level::warn, "hot_restart.unknown",
                            {{"limits", "half of the limits"},
                             {"path", hot_restart_lock_->path()},
                             {"error", hot_restart_lock_->error()}});
    }
}

std::optional<net::Tcp::endpoint> Sidecar::operator_address() const {
    return operators_ ? std::optional(operators_->address()) : std::nullopt;
}

Metrics Sidecar::metrics() const {
    Metrics metrics = metrics_;
    metrics.attempts = upstream_.stats().attempts;
    metrics.in_flight = flights_.size();
    metrics.known = listed_;
    metrics.list = discovery_->state();
    metrics.excluded = balancer_.gauges().unavailable;
    if (cluster_) metrics.cluster = cluster_->figures();
    return metrics;
}

void Sidecar::reconfigure(const config::Config& config) {
    if (config.discovery == config_.discovery) return;
    net::log(spdlog::level::info, "discovery.moved", {{"address", net::written(config.discovery)}});
    config_.discovery = config.discovery;
    discovery_moved_at_ = clock_.now();
    discovery_->move(config.discovery);
}

void Sidecar::drain(std::function<void()> done) {
    if (drained_) return;
    drained_ = std::move(done);
    if (cluster_) cluster_->leave();
    if (!listener_) return std::exchange(drained_, nullptr)();
    net::log(spdlog::level::info, "drain.began", {{"requests", flights_.size()}});
    drain_ends_ = clock_.now() + config_.longest_deadline + kKillAfter - kReserve;
    listener_->drain(kAccepting);
    last_call(std::max(kAccepting, drain_ends_ - kLinger - clock_.now()), kLongestDrain);
}

// What comes during a drain has no more time than that has.
Millis Sidecar::within_drain(Millis time_left) const {
    return drain_ends_ > 0 ? std::clamp(drain_ends_ - clock_.now(), 0.0, time_left) : time_left;
}

void Sidecar::last_call(Millis in, Millis most) {
    last_call_.expires_after(net::span(in));
    last_call_.async_wait(unless_over([this, most = most - in] {
        if (!drained_) return;
        listener_->end_waiting_connections();
        if (listener_->connection_count() > 0 && most > 0) return last_call(kLook, most);
        if (!flights_.empty()) net::log(spdlog::level::err, "drain.cut_off", {{"requests", flights_.size()}});
        std::exchange(drained_, nullptr)();
    }));
}

// ---- Events and actions -----------------------------------------------------------------------------------

void Sidecar::give(Event event) {
    events_.push_back(std::move(event));
    if (handling_) return;
    handling_ = true;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        actions_.clear();
        try {
            balancer_.handle(clock_.now(), next, actions_);
            for (const Action& action : actions_) carry_out(action);
        } catch (const std::exception& error) {  // out of memory, say: costs this event and no other
            net::log(spdlog::level::err, "event.failed", {{"error", error.what()}});
            note_failure();
        }
    }
    handling_ = false;
    arm();
}

// What failed may have cost any request that is held what would have brought its answer: an event, an
// attempt, a timer. They are looked at until each has ended. Where it was the accepting of a connection, that
// goes on.
void Sidecar::note_failure() {
    for (const auto& [id, request] : requests_) doubtful_up_to_ = std::max(doubtful_up_to_, id);
    try {
        look_for_overdue(kLook);
        if (listener_) listener_->resume_accepting();
    } catch (const std::exception&) {  // no memory for that either: the next failure does it
    }
}

void Sidecar::look_for_overdue(Millis in) {
    overdue_timer_.expires_after(net::span(in));
    overdue_timer_.async_wait(unless_over([this] {
        if (!answer_overdue()) return;
        look_for_overdue(kLook);
    }));
}

// Whether any is left that was held when something failed.
bool Sidecar::answer_overdue() {
    const auto doubtful = [this](const auto& entry) {
        const auto& [id, request] = entry;
        const auto begun = [](const Attempt& attempt) { return attempt.out && attempt.begun > 0; };
        return id <= doubtful_up_to_ && !request.ended && std::ranges::none_of(request.attempts, begun);
    };
    const auto overdue = [&](const auto& entry) {
        return doubtful(entry) && clock_.now() >= entry.second.deadline + kOverdue;
    };
    for (auto at = std::ranges::find_if(requests_, overdue); at != requests_.end();
         at = std::ranges::find_if(requests_, overdue)) {
        const RequestId id = at->first;
        give_answer(id, DownstreamListener::Response(http::status::gateway_timeout, 11));
        gone(id);
    }
    return std::ranges::any_of(requests_, doubtful);
}

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

void Sidecar::carry_out(const Action& action) {
    std::visit(
        Overloaded{
            [&](const SendAttempt& a) { carry_out(a); }, [&](const CancelAttempt& a) { carry_out(a); },
            [&](const RejectRequest& a) {
                DownstreamListener::Response refusal(http::status::service_unavailable, 11);
                if (a.retry_after > 0)
                    refusal.set(http::field::retry_after, decimal(a.retry_after / 1000, "%.3f"));
                answer(a.id, std::move(refusal));
            },
            [&](const FailRequest& a) {
                const auto at = requests_.find(a.id);
                const bool late = at != requests_.end() && clock_.now() >= at->second.deadline;
                answer(a.id, DownstreamListener::Response(
                                 late ? http::status::gateway_timeout : http::status::bad_gateway, 11));
            },
            [&](const SetTimer& a) { due(a.at, a.token); }, [&](const HealthCheck& a) { probe(a.server); },
            [&](const CloseIdleConnections& a) { upstream_.close_idle(a.server); },
            [&](const SendToPeer& a) {
                if (peers_) peers_->tell(a.to, a.bytes);
            },
            [&](const Subscribe& a) { discovery_->watch(a.active); },
            [&](const EndpointEjected& a) {
                net::log(spdlog::level::info, "endpoint.ejected",
                         {{"server", name_of(a.server)}, {"for_ms", std::round(a.until - clock_.now())}});
            },
            [&](const EndpointRestored& a) {
                net::log(spdlog::level::info, "endpoint.restored", {{"server", name_of(a.server)}});
            }},
        action);
}

void Sidecar::carry_out(const SendAttempt& send) {
    const auto request = requests_.find(send.id);
    if (request == requests_.end()) return;
    Request& r = request->second;
    const auto number = static_cast<std::uint32_t>(r.attempts.size());
    const auto server = servers_.find(send.server);
    const Millis until = waits_until(send, r);
    r.attempts.push_back({0, send.server, clock_.now(), true});
    ++r.out;
    if (server != servers_.end()) ++server->second.out;
    if (r.body && !r.body->kept()) return ended(send.id, number, Outcome::not_sent, {});

    const DownstreamListener::RequestHead& from = *r.message;
    UpstreamPool::Request to;
    to.message.method_string(from.method_string());
    to.message.target(from.target());
    to.message.version(11);
    net::copy_end_to_end(to.message, from);
    to.message.set(http::field::host, from[http::field::host]);
    to.may_begin = [this, send](UpstreamPool::RequestHead& head) { return may_begin(send, head); };
    to.still_wanted = [this, id = send.id] { return !listener_->has_client_left(id); };
    if (!to.may_begin(to.message)) return ended(send.id, number, Outcome::not_sent, {});
    if ((to.body = r.body)) r.body->rewind();
    r.attempts[number].exchange = upstream_.start(
        send.server, std::move(to),
        [this, id = send.id, number](Outcome outcome, UpstreamPool::Response response) {
            ended(id, number, outcome, std::move(response));
        },
        [this, id = send.id, number](DownstreamListener::ResponseHead head,
                                     std::shared_ptr<net::BodyBuffer> body) {
            begun(id, number, std::move(head), std::move(body));
        });
    if (net::logs(spdlog::level::debug))
        net::log(spdlog::level::debug, "attempt.chosen",
                 {{"request", std::string(from["Request-Id"])}, {"server", server->second.name}});
    if (until < kNever) due(until, AttemptLimit{send.id, number});
}

// The end of what an attempt is given, on the sidecar's clock.
Millis Sidecar::waits_until(const SendAttempt& send, const Request& request) const {
    return send.deadline > 0 ? std::min(send.deadline, request.deadline) : request.deadline;
}

// Right before a first byte goes out: at the choice, and once more when a connection has come up. Whoever has
// left by then is not served, a server that leaves gets nothing new, and what comes too late is not issued.
// The head tells what is left by the same reading of the clock, in whole milliseconds, rounded down. The time
// of a body that is still coming counts from its last byte, which may stand unread already.
bool Sidecar::may_begin(const SendAttempt& send, UpstreamPool::RequestHead& head) {
    const auto request = requests_.find(send.id);
    const auto server = servers_.find(send.server);
    if (request == requests_.end() || request->second.ended || server == servers_.end()) return false;
    if (listener_->has_client_left(send.id)) return gone(send.id), false;
    if (!server->second.listed || server->second.leaving) return false;
    const Millis now = clock_.now();
    const Request& r = request->second;
    const Millis unread = r.whole_at > 0 ? 0 : listener_->unread_time(send.id);
    const Millis left = std::floor(std::min(r.time_left - unread, waits_until(send, r) - now));
    if (left < 1 || (send.send_by > 0 && now >= send.send_by)) return false;
    head.set("Request-Timeout-Ms", decimal(left, "%.0f"));
    return true;
}

void Sidecar::carry_out(const CancelAttempt& cancel) {
    const auto request = requests_.find(cancel.id);
    if (request == requests_.end() || cancel.attempt >= request->second.attempts.size()) return;
    const Attempt& attempt = request->second.attempts[cancel.attempt];
    if (!attempt.out) return;
    upstream_.cancel(attempt.exchange);
    ended(cancel.id, cancel.attempt, Outcome::cancelled, {});
}

void Sidecar::answer(RequestId id, DownstreamListener::Response answer) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.ended) return;
    at->second.ended = true;
    give_answer(id, std::move(answer));
    forget_request(id);
}

void Sidecar::give_answer(RequestId id, DownstreamListener::Response answer) {
    Flight& flight = flights_[id];
    flight.class_index = requests_.at(id).class_index;
    flight.ending = ending_of(answer.result_int());
    listener_->respond(id, std::move(answer));
}

void Sidecar::arrived(DownstreamListener::IncomingRequest arrival) {
    RequestArrived event;
    event.id = arrival.id;
    event.class_index = config_.site.class_index(arrival.class_name);
    // What is no request of a class that is served here is answered here: no server has a use for it, and
    // nobody knows whether it may run twice.
    const auto& classes = config_.site.settings.classes;
    if (event.class_index >= classes.size())
        return listener_->respond(arrival.id, DownstreamListener::Response(http::status::not_found, 11));
    if (!in_form(classes[event.class_index], *arrival.message, arrival.body != nullptr))
        return listener_->respond(arrival.id, DownstreamListener::Response(http::status::bad_request, 11));
    if (!arrival.tenant.empty()) event.tenant = config_.site.tenant_index(arrival.tenant);
    event.time_left = within_drain(arrival.time_left);
    event.effort = arrival.effort;
    event.is_retry = arrival.is_retry;
    event.body_incomplete = arrival.body && !arrival.body->whole();
    event.affinity_hash = affinity_of(arrival.class_name, *arrival.message);
    Request& request = requests_[arrival.id];
    request.message = std::move(arrival.message);
    request.body = std::move(arrival.body);
    request.class_index = event.class_index;
    request.time_left = arrival.time_left;
    request.deadline = kNever;
    if (event.body_incomplete) return give(event);  // taken, and its time begun, with its last byte
    request.whole_at = clock_.now();
    request.deadline = request.whole_at + event.time_left;
    flights_[arrival.id].class_index = event.class_index;
    give(event);
}

// 0: it has no key.
std::uint64_t Sidecar::affinity_of(std::string_view class_name,
                                   const DownstreamListener::RequestHead& message) const {
    for (const config::Config::Affinity& rule : config_.affinity) {
        if (rule.class_name != "*" && rule.class_name != class_name) continue;
        const auto key = rule.header.empty() ? message.target() : message[rule.header];
        return key.empty() ? 0 : std::max<std::uint64_t>(1, XXH64(key.data(), key.size(), 0));
    }
    return 0;
}

void Sidecar::whole(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.ended) return;
    Request& r = at->second;
    r.whole_at = clock_.now();
    r.time_left = within_drain(std::max(0.0, r.time_left - listener_->unread_time(id)));
    r.deadline = r.whole_at + r.time_left;
    flights_[id].class_index = r.class_index;
    for (std::uint32_t number = 0; number < r.attempts.size(); ++number)
        if (r.attempts[number].out) due(r.deadline, AttemptLimit{id, number});
    give(BodyComplete{id, r.time_left});
}

void Sidecar::begun(RequestId id, std::uint32_t number, DownstreamListener::ResponseHead head,
                    std::shared_ptr<net::BodyBuffer> body) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || !at->second.attempts[number].out) return;
    Attempt& attempt = at->second.attempts[number];
    if (at->second.ended) {  // nobody waits for it
        upstream_.cancel(attempt.exchange);
        return ended(id, number, Outcome::completed, {});
    }
    attempt.begun = clock_.now();
    Flight& flight = flights_[id];
    flight.class_index = at->second.class_index;
    flight.ending = Ending::served;
    give(ResponseStarted{id, number});
    listener_->stream_response(id, std::move(head), std::move(body));
}

void Sidecar::gone(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.ended) return;
    at->second.ended = true;  // nothing goes out for it from here on, whatever is due
    const std::size_t attempts = at->second.attempts.size();
    const bool over = clock_.now() >= at->second.deadline;
    const auto each_out = [&](auto what) {
        for (std::uint32_t i = 0; i < attempts; ++i) {
            const auto still = requests_.find(id);
            if (still == requests_.end()) return;
            if (still->second.attempts[i].out) what(still->second, still->second.attempts[i], i);
        }
    };
    if (over)  // most clients leave at their deadline: what ran out with it is no withdrawal of theirs
        each_out([&](const Request&, const Attempt& attempt, std::uint32_t i) {
            if (attempt.begun == 0) run_out(id, i);
        });
    give(ClientDisconnected{id});
    // Settings may forbid to withdraw what a server has whole. What it has not must never come to be, and
    // what can't come to its end without the client is not left to run out.
    each_out([&](const Request&, const Attempt& attempt, std::uint32_t i) {
        const bool begun = upstream_.may_have_started(attempt.exchange);
        if (upstream_.is_written(attempt.exchange) && attempt.begun == 0) return;
        upstream_.cancel(attempt.exchange);
        ended(id, i, begun ? Outcome::cancelled : Outcome::not_sent, {});
    });
    if (requests_.contains(id)) forget_request(id);
}

void Sidecar::ended(RequestId id, std::uint32_t number, Outcome outcome, UpstreamPool::Response response) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    Request& r = at->second;
    Attempt& attempt = r.attempts[number];
    if (!attempt.out) return;
    attempt.out = false;
    --r.out;
    // The server's time: from the request's last byte to the first that is passed on, or to the answer's
    // last.
    const Millis till = attempt.begun > 0 ? attempt.begun : clock_.now();
    AttemptEnded event{id, number, outcome, std::max(0.0, till - std::max(attempt.sent, r.whole_at)),
                       r.ended};
    if (r.body && !r.body->kept() && !r.ended) give(BodyDiscarded{id});
    const ServerId server = attempt.server;
    // What a server makes of the request is the client's, be it that it can't be served.
    if (attempt.begun > 0)
        event.request_ended = r.ended = true;
    else if ((outcome == Outcome::completed || outcome == Outcome::invalid_request) && !r.ended) {
        DownstreamListener::Response made(response.result(), 11);
        net::copy_end_to_end(made, response);
        made.body() = std::move(response.body());
        event.request_ended = r.ended = true;
        give_answer(id, std::move(made));
    }
    forget_request(id);
    if (const auto held = servers_.find(server); held != servers_.end()) --held->second.out;
    give(event);
    forget_server(server);
}

void Sidecar::probe(ServerId server) {
    const auto at = servers_.find(server);
    if (!config_.may_probe || at == servers_.end() || !at->second.listed)
        return give(HealthCheckEnded{server, Outcome::not_sent, 0});
    UpstreamPool::Request ping;
    ping.is_attempt = false;
    ping.message.method(http::verb::get);
    ping.message.target("/ping");
    ping.message.set(http::field::host, at->second.name);
    const auto timeout = std::make_shared<asio::steady_timer>(io_, net::span(kProbeTimeout));
    const auto told = [this, server, timeout, began = clock_.now()](Outcome outcome) {
        timeout->cancel();
        give(HealthCheckEnded{server, outcome, clock_.now() - began});
    };
    const ExchangeId exchange =
        upstream_.start(server, std::move(ping), [told](Outcome outcome, const auto&) { told(outcome); });
    timeout->async_wait([this, told, exchange](boost::system::error_code cancelled) {
        if (!cancelled) told(upstream_.cancel(exchange) ? Outcome::timed_out : Outcome::connect_failed);
    });
}

// ---- Servers
// ------------------------------------------------------------------------------------------------

ServerId Sidecar::server_id(const std::string& name) {
    const auto [at, fresh] = server_ids_.try_emplace(name, next_server_);
    if (fresh) servers_[next_server_++].name = name;
    return at->second;
}

std::string Sidecar::name_of(ServerId id) const {
    const auto server = servers_.find(id);
    return server == servers_.end() ? "" : server->second.name;
}

void Sidecar::list(ListKind kind, const config::DiscoveryList& members) {
    log_list(members);
    EndpointList event{kind, {}};
    const ServerStartTimes::Moment moment = moment_of(kind);
    if (kind != ListKind::incremental)
        for (auto& [id, server] : servers_) set_listed(server, false);
    for (const config::DiscoveredServer& m : members.members) event.servers.push_back(take_member(m, moment));
    // A change is of few servers, however many are listed: no other one can have left by it.
    std::vector<ServerId> concerned;
    if (kind == ListKind::incremental)
        for (const EndpointInfo& server : event.servers) concerned.push_back(server.id);
    else
        for (const auto& [id, server] : servers_) concerned.push_back(id);
    give(std::move(event));
    for (const ServerId id : concerned) forget_server(id);
    if (!listener_ && listed_ > 0 && kind != ListKind::cached) open_front_when_possible();
}

void Sidecar::log_list(const config::DiscoveryList& members) const {
    if (!net::logs(spdlog::level::debug)) return;
    net::LogFields leaving = net::LogFields::array();
    for (const config::DiscoveredServer& m : members.members)
        if (m.state != EndpointState::active) leaving.push_back(m.id);
    net::log(spdlog::level::debug, "list.changed",
             {{"version", members.version},
              {"full", members.full},
              {"entries", members.members.size()},
              {"leaving", std::move(leaving)}});
}

EndpointInfo Sidecar::take_member(const config::DiscoveredServer& member,
                                  const ServerStartTimes::Moment& moment) {
    const ServerId id = server_id(member.id);
    Server& server = servers_[id];
    set_listed(server, member.state != EndpointState::removed);
    server.leaving = member.state != EndpointState::active;
    if (server.listed) upstream_.set_server(id, member.address, member.started);
    const Millis started_at = start_of(member, moment).at;
    return {id,
            config_.site.zone(member.zone),
            member.cell,
            member.state,
            started_at,
            config_.site.kind(member.kind),
            XXH64(member.id.data(), member.id.size(), 0)};
}

void Sidecar::set_listed(Server& server, bool listed) {
    listed_ += listed;
    listed_ -= server.listed;
    server.listed = listed;
}

// The saved list may be old, and bounds nobody's age; nor does what another discovery has told.
ServerStartTimes::Moment Sidecar::moment_of(ListKind kind) const {
    ServerStartTimes::Moment moment{clock_.now(), clock_.wall(), {}};
    if (kind == ListKind::cached) return moment;
    moment.since_answer = discovery_->state().age_before;
    if (discovery_moved_at_ && moment.since_answer > moment.now - *discovery_moved_at_)
        moment.since_answer.reset();
    return moment;
}

ServerStartTimes::Start Sidecar::start_of(const config::DiscoveredServer& member,
                                          const ServerStartTimes::Moment& moment) {
    const ServerStartTimes::Start start = start_times_.start_of(member.id, member.started, moment);
    if (start.changed && start.dated)
        net::log(spdlog::level::info, "server.start_dated", {{"server", member.id}});
    else if (start.changed)
        net::log(spdlog::level::warn, "server.start_not_dated",
                 {{"server", member.id}, {"started_ms", member.started}, {"taken_for", "started just now"}});
    return start;
}

void Sidecar::forget_request(RequestId id) {
    const auto at = requests_.find(id);
    if (at != requests_.end() && at->second.ended && at->second.out == 0) requests_.erase(at);
}

void Sidecar::forget_server(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end() || at->second.listed || at->second.out > 0) return;
    upstream_.forget_server(id);
    start_times_.unlisted(at->second.name, clock_.now());
    server_ids_.erase(at->second.name);
    servers_.erase(at);
}

// ---- Time
// ---------------------------------------------------------------------------------------------------

void Sidecar::due(Millis at, std::variant<AttemptLimit, TimerToken> what) {
    due_.push({at, next_due_++, what});
    if (!handling_) arm();
}

void Sidecar::run_due() {
    while (!due_.empty() && due_.top().at <= clock_.now()) {
        const auto what = due_.top().what;
        due_.pop();
        if (const auto* token = std::get_if<TimerToken>(&what)) {
            give(TimerFired{*token});
            continue;
        }
        const auto& limit = std::get<AttemptLimit>(what);
        const auto request = requests_.find(limit.request);
        if (request == requests_.end() || !request->second.attempts[limit.attempt].out) continue;
        if (request->second.attempts[limit.attempt].begun > 0) continue;  // it goes on as long as it comes
        run_out(limit.request, limit.attempt);
    }
    arm();
}

// An attempt's time.
void Sidecar::run_out(RequestId id, std::uint32_t attempt) {
    const bool written = upstream_.cancel(requests_.at(id).attempts[attempt].exchange);
    ended(id, attempt, written ? Outcome::timed_out : Outcome::connect_failed, {});
}

void Sidecar::arm() {
    if (due_.empty()) return;
    timer_.expires_at(clock_.when(due_.top().at));
    timer_.async_wait(unless_over([this] { run_due(); }));
}

}  // namespace mothring::node
