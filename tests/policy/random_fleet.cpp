#include "random_fleet.hpp"

#include <algorithm>
#include <iterator>
#include <variant>

#include "random_settings.hpp"

namespace mothring::test {

namespace {

constexpr std::uint64_t kNameHashFactor = 0x9e3779b97f4a7c15;

// The last kRequestsInBurst of every kBurstInterval requests arrive in a burst.
constexpr int kBurstInterval = 400;
constexpr int kRequestsInBurst = 100;

/// The mean time between disturbances.
constexpr Millis kDisturbanceGap = 400;
constexpr Millis kZoneOutage = 2000;
constexpr Millis kFirstListDelay = 200;
/// Timers from this time on are not simulated, as every sequence ends earlier.
constexpr Millis kAfterAnySequence = 1e9;

/// The changes of the fleet and of discovery. All have the same probability.
enum class Disturbance : std::uint32_t {
    server_becomes_faulty,
    server_recovers,
    server_drains,
    server_is_removed,
    server_is_replaced,
    server_is_added,
    list_is_repeated,
    list_fails,
    zone_is_lost,
    members_change,
    processes_overlap,
    unused_events,
};
constexpr std::uint32_t kDisturbances = 12;

}  // namespace

RandomFleet::RandomFleet(std::uint64_t seed)
    : draw_(seed),
      settings_(draw_settings(draw_)),
      server_count_(3 + draw_.below(60)),
      request_gap_(4 + 40 * draw_.unit()),
      balancer_(settings_, seed) {}

std::uint64_t RandomFleet::play(int requests) {
    deliver(Started{});
    for (ServerId id = 1; id <= server_count_; ++id) servers_[id] = draw_server(id, 0);
    deliver(EndpointList{ListKind::cached, listed()});
    requests_left_ = requests;
    schedule_next_request();
    schedule_in(kFirstListDelay, [this] { deliver(EndpointList{ListKind::full, listed()}); });
    schedule_next_disturbance();
    while (!tasks_.empty()) {
        const auto next = tasks_.begin();
        now_ = std::max(now_, next->first.first);
        const Task task = std::move(next->second);
        tasks_.erase(next);
        task();
    }
    digest_.add(static_cast<std::uint64_t>(events_));
    return digest_.value();
}

RandomFleet::Server RandomFleet::draw_server(ServerId id, Millis started_at) {
    Server server;
    EndpointInfo& info = server.info;
    info.id = id;
    info.zone = draw_.below(kZones);
    info.cell = draw_.below(kCells);
    info.started_at = started_at;
    info.kind = draw_.below(kKinds);
    info.name_hash = id * kNameHashFactor;
    server.service_time = 20 + 60 * draw_.unit() * (1 + info.kind);
    if (draw_.chance(0.1)) make_faulty(server);
    return server;
}

void RandomFleet::make_faulty(Server& server) {
    constexpr Outcome kFailures[] = {Outcome::failed,          Outcome::overloaded, Outcome::connect_failed,
                                     Outcome::connection_lost, Outcome::timed_out,  Outcome::invalid_request,
                                     Outcome::not_sent};
    server.failure_rate = draw_.chance(0.5) ? 1 : draw_.unit();
    server.failure = kFailures[draw_.below(std::size(kFailures))];
}

std::vector<EndpointInfo> RandomFleet::listed() const {
    std::vector<EndpointInfo> infos;
    for (const auto& [id, server] : servers_)
        if (server.info.state != EndpointState::removed) infos.push_back(server.info);
    return infos;
}

void RandomFleet::schedule(Millis at, Task task) { tasks_[{at, next_order_++}] = std::move(task); }

void RandomFleet::schedule_next_request() {
    if (requests_left_ == 0) return;
    const bool is_burst = requests_left_ % kBurstInterval < kRequestsInBurst;
    schedule_in(draw_.gap(is_burst ? request_gap_ / 10 : request_gap_), [this] {
        --requests_left_;
        start_request();
        schedule_next_request();
    });
}

void RandomFleet::start_request() {
    const RequestId id = next_request_++;
    RequestArrived arrival;
    arrival.id = id;
    // The highest class index and the highest tenant index do not exist in the settings.
    arrival.class_index = draw_.below(static_cast<std::uint32_t>(settings_.classes.size()) + 1);
    arrival.time_left = 50 + 1500 * draw_.unit();
    arrival.effort = draw_.chance(0.5) ? 100 * draw_.unit() : 0;
    arrival.is_retry = draw_.chance(0.1);
    arrival.tenant = draw_.below(kTenants + 1);
    arrival.body_incomplete = draw_.chance(0.1);
    arrival.affinity_hash = draw_.chance(0.3) ? 1 + draw_.below(20) : 0;
    requests_[id];
    if (arrival.body_incomplete) {
        schedule_in(300 * draw_.unit(), [this, id, left = arrival.time_left] {
            deliver(BodyComplete{id, left});
        });
    }
    if (draw_.chance(0.05)) schedule_in(200 * draw_.unit(), [this, id] { deliver(BodyDiscarded{id}); });
    if (draw_.chance(0.05)) {
        schedule_in(500 * draw_.unit(), [this, id] {
            requests_[id].has_ended = true;
            deliver(ClientDisconnected{id});
        });
    }
    deliver(arrival);
}

void RandomFleet::end_attempt(RequestId id, std::uint32_t attempt, Outcome outcome, Millis duration) {
    Request& request = requests_[id];
    if (request.in_flight.erase(attempt) == 0) return;
    if (outcome == Outcome::completed || outcome == Outcome::invalid_request) request.has_ended = true;
    deliver(AttemptEnded{id, attempt, outcome, duration, request.has_ended});
}

void RandomFleet::schedule_next_disturbance() {
    if (requests_left_ == 0) return;
    schedule_in(draw_.gap(kDisturbanceGap), [this] {
        disturb();
        schedule_next_disturbance();
    });
}

void RandomFleet::disturb() {
    switch (static_cast<Disturbance>(draw_.below(kDisturbances))) {
        case Disturbance::server_becomes_faulty:
            change_server([this](Server& server) { make_faulty(server); });
            break;
        case Disturbance::server_recovers:
            change_server([](Server& server) { server.failure_rate = 0; });
            break;
        case Disturbance::server_drains:
            change_listed_server([](Server& server) { server.info.state = EndpointState::draining; });
            break;
        case Disturbance::server_is_removed:
            change_listed_server([](Server& server) { server.info.state = EndpointState::removed; });
            break;
        case Disturbance::server_is_replaced:
            replace_server();
            break;
        case Disturbance::server_is_added:
            add_server();
            break;
        case Disturbance::list_is_repeated:
            deliver(EndpointList{ListKind::full, listed()});
            break;
        case Disturbance::list_fails:
            fail_list();
            break;
        case Disturbance::zone_is_lost:
            lose_zone();
            break;
        case Disturbance::members_change: {
            const bool quorum = draw_.chance(0.7);
            deliver(MemberView{1 + draw_.below(50), quorum});
            break;
        }
        case Disturbance::processes_overlap:
            deliver(ProcessOverlap{draw_.chance(0.5)});
            break;
        case Disturbance::unused_events:
            deliver_unused_events();
            break;
    }
}

void RandomFleet::change_listed_server(const ServerChange& change) {
    Server& server = draw_known_server();
    change(server);
    deliver(EndpointList{ListKind::incremental, {server.info}});
}

void RandomFleet::replace_server() {
    change_listed_server([this](Server& server) {
        const Millis started_at = draw_.chance(0.1) ? 0 : now_;
        server = draw_server(server.info.id, started_at);
        server.info.state = EndpointState::active;
    });
}

void RandomFleet::add_server() {
    const ServerId id = ++server_count_;
    servers_[id] = draw_server(id, now_);
    deliver(EndpointList{ListKind::incremental, {servers_[id].info}});
}

void RandomFleet::fail_list() {
    constexpr ListFailure kFailures[] = {ListFailure::unreachable, ListFailure::rejected, ListFailure::broken,
                                         ListFailure::timed_out};
    EndpointList failed{ListKind::failed, {}};
    failed.failure = kFailures[draw_.below(std::size(kFailures))];
    if (draw_.chance(0.7)) failed.notified_within = -500 + 6000 * draw_.unit();
    if (draw_.chance(0.3)) failed.retry_after = 3000 * draw_.unit();
    deliver(failed);
}

void RandomFleet::lose_zone() {
    const ZoneId zone = draw_.below(kZones);
    for (auto& [id, server] : servers_) {
        if (server.info.zone != zone) continue;
        server.failure_rate = 1;
        server.failure = Outcome::connect_failed;
    }
    schedule_in(kZoneOutage, [this, zone] {
        for (auto& [id, server] : servers_)
            if (server.info.zone == zone) server.failure_rate = 0;
    });
}

void RandomFleet::deliver_unused_events() {
    deliver(HealthCheckEnded{1 + draw_.below(server_count_), Outcome::completed, 3});
    deliver(PeerMessage{1, {1, 2, 3}});
}

void RandomFleet::deliver(const Event& event) {
    ++events_;
    std::vector<Action> actions;
    balancer_.handle(now_, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& taken) { take(taken); }, action);
    const Balancer::Gauges gauges = balancer_.gauges();
    digest_.add(std::uint64_t{gauges.requests});
    digest_.add(std::uint64_t{gauges.servers});
    digest_.add(std::uint64_t{gauges.timers});
    digest_.add(std::uint64_t{gauges.unavailable});
}

void RandomFleet::record(char tag) {
    ++action_counts_[tag];
    digest_.add(static_cast<std::uint64_t>(tag));
}

void RandomFleet::take(const SendAttempt& send) {
    record('S');
    digest_.add(send.id);
    digest_.add(std::uint64_t{send.server});
    digest_.add(send.deadline);
    digest_.add(send.send_by);
    Request& request = requests_[send.id];
    const std::uint32_t attempt = request.attempts++;
    request.in_flight[attempt] = send.server;
    schedule_end(send, attempt);
}

void RandomFleet::schedule_end(const SendAttempt& send, std::uint32_t attempt) {
    const RequestId id = send.id;
    const Server& server = servers_[send.server];
    const bool fails = draw_.chance(server.failure_rate);
    const Outcome outcome = fails ? server.failure : Outcome::completed;
    // A server gets slower with its number of attempts in flight. Rejections and failed connections take
    // little time at any load.
    const double slowdown = 1 + 0.3 * static_cast<double>(count_in_flight_at(send.server));
    Millis duration = draw_.gap(server.service_time) * slowdown;
    if (outcome == Outcome::connect_failed || outcome == Outcome::overloaded) duration = 1 + draw_.unit();
    if (outcome == Outcome::timed_out || now_ + duration > send.deadline) {
        const Millis ends_at = std::max(now_, send.deadline);
        schedule(ends_at, [this, id, attempt, span = ends_at - now_] {
            end_attempt(id, attempt, Outcome::timed_out, span);
        });
        return;
    }
    if (outcome == Outcome::completed && draw_.chance(0.1)) {
        schedule_in(duration / 2, [this, id, attempt] {
            if (!requests_[id].in_flight.contains(attempt)) return;
            requests_[id].has_ended = true;
            deliver(ResponseStarted{id, attempt});
        });
    }
    schedule_in(duration,
                [this, id, attempt, outcome, duration] { end_attempt(id, attempt, outcome, duration); });
}

void RandomFleet::take(const CancelAttempt& cancellation) {
    record('C');
    digest_.add(cancellation.id);
    digest_.add(std::uint64_t{cancellation.attempt});
    schedule_in(0, [this, cancellation] {
        end_attempt(cancellation.id, cancellation.attempt, Outcome::cancelled, 0);
    });
}

void RandomFleet::take(const RejectRequest& rejection) {
    record('R');
    digest_.add(rejection.id);
    digest_.add(rejection.retry_after);
    requests_[rejection.id].has_ended = true;
}

void RandomFleet::take(const FailRequest& failure) {
    record('G');
    digest_.add(failure.id);
    requests_[failure.id].has_ended = true;
}

void RandomFleet::take(const SetTimer& timer) {
    record('T');
    digest_.add(timer.at);
    digest_.add(timer.token);
    if (timer.at >= kAfterAnySequence) return;
    schedule(std::max(now_, timer.at), [this, token = timer.token] { deliver(TimerFired{token}); });
}

void RandomFleet::take(const Subscribe& subscription) {
    record('U');
    digest_.add(std::uint64_t{subscription.active});
}

void RandomFleet::take(const EndpointEjected& ejection) {
    EXPECT_GT(ejection.until, now_);
    record('E');
    digest_.add(std::uint64_t{ejection.server});
}

void RandomFleet::take(const EndpointRestored& restoration) {
    record('H');
    digest_.add(std::uint64_t{restoration.server});
}

int RandomFleet::count_in_flight_at(ServerId server) const {
    int count = 0;
    for (const auto& [id, request] : requests_)
        for (const auto& [attempt, attempt_server] : request.in_flight)
            if (attempt_server == server) ++count;
    return count;
}

}  // namespace mothring::test
