#include "node/sidecar.hpp"

#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

#include "net/socket_errors.hpp"

namespace mothring::node {

namespace {

/// The sidecar closes an idle connection before the server does, by this fraction of idle-close-ms.
constexpr double kIdleMargin = 0.07;
/// A response of unknown length is buffered for at most the shortest latency objective divided by this.
constexpr double kBufferingDivisor = 8;
constexpr Millis kListenRetryDelay = 50;

Millis shortest_objective(const Settings& settings) {
    Millis shortest = settings.classes.front().latency_objective;
    for (const RequestClass& request_class : settings.classes)
        shortest = std::min(shortest, request_class.latency_objective);
    return shortest;
}

UpstreamPool::Limits upstream_limits(const config::Config& config, std::size_t connections) {
    UpstreamPool::Limits limits;
    limits.connect_timeout = config.connect_timeout;
    limits.idle_timeout = config.idle_close * (1 - kIdleMargin);
    limits.max_connections = connections;
    limits.buffering_time = shortest_objective(config.site.settings) / kBufferingDivisor;
    return limits;
}

std::string instance_name(const net::Tcp::endpoint& listen) {
    return listen.address().to_string() + "-" + std::to_string(listen.port());
}

// Returns the file that the processes of a sidecar share, or nothing if there can be no other process.
std::optional<std::string> history_path(const config::Config& config) {
    if (!config.operators || config.listen.port() == 0) return std::nullopt;
    return AttemptHistory::path_of(HotRestartLock::temporary_folder(), instance_name(config.listen));
}

}  // namespace

Sidecar::Sidecar(boost::asio::io_context& io, config::Config config)
    : io_(io),
      config_(std::move(config)),
      clock_(config_.clock_skew, config_.read_wall_clock),
      limits_(config_.sockets, config_.memory_mb),
      loop_(io, clock_, Balancer(config_.site.settings, config_.seed), loop_callbacks()),
      upstream_(io, upstream_limits(config_, limits_.connections_per_side()), budget_),
      endpoints_(config_.site, clock_, upstream_),
      endpoint_list_(io, config_, clock_, loop_, endpoints_, [this] { on_list_updated(); }),
      metrics_(config_.site.classes),
      in_flight_(metrics_),
      shutdown_(io, clock_, config_.longest_deadline, in_flight_),
      history_(history_path(config_)),
      forwarder_({config_, clock_, loop_, requests_, in_flight_, endpoints_, upstream_, shutdown_, history_,
                  listener_}),
      health_checker_({io, clock_, loop_, endpoints_, upstream_}, config_.may_probe),
      executor_({clock_, loop_, forwarder_, health_checker_, upstream_, endpoint_list_, endpoints_, peers_}),
      overdue_sweep_(io, clock_, requests_, [this](RequestId id) { forwarder_.time_out(id); }),
      listen_timer_(io) {
    set_memory_limits();
    if (config_.operators) {
        listen_for_operators();
        start_hot_restart_monitor();
    }
    if (config_.may_tell && config_.peer_listen) listen_for_peers();
    loop_.handle(Started{});
    if (config_.cluster) join_cluster();
    endpoint_list_.use_cached(config_.known);
    config_.known = {};
    if (!config_.site.settings.must_subscribe) endpoint_list_.watch(true);
    // While another process of this sidecar runs, clients connect to this one as soon as it listens. It
    // therefore does not listen before a server is listed.
    if (!limits_.halved() || endpoints_.listed_count() > 0) listen_for_clients();
}

EventLoop::Callbacks Sidecar::loop_callbacks() {
    return {[this](const Action& action) { executor_.execute(action); },
            [this](const AttemptDeadline& deadline) { forwarder_.on_attempt_deadline(deadline); },
            [this] { handle_failure(); }};
}

// ---- Addresses of operators and peers, hot restart, cluster -----------------------------------------------

void Sidecar::listen_for_operators() {
    try {
        operators_.emplace(
            io_, *config_.operators,
            OperatorListener::Callbacks{[this] { return ready(); }, [this] { return render(metrics()); }});
    } catch (const boost::system::system_error& error) {
        if (net::is_resource_shortage(error.code())) throw;
        throw config::ConfigError("cannot listen on the address of 'operator': " + error.code().message());
    }
}

/// A port that the system chooses is not shared with another process, so there is nothing to monitor.
void Sidecar::start_hot_restart_monitor() {
    if (config_.listen.port() == 0) return;
    hot_restart_.emplace(io_, instance_name(config_.listen),
                         [this](bool may_overlap) { set_process_overlap(may_overlap); });
    hot_restart_->start();
}

void Sidecar::set_memory_limits() {
    budget_->limit = limits_.buffer_bytes();
    budget_->head_limit = limits_.head_bytes();
}

void Sidecar::set_process_overlap(bool may_overlap) {
    limits_.set_halved(may_overlap);
    set_memory_limits();
    upstream_.limit_connections(limits_.connections_per_side());
    if (listener_) listener_->limit_connections(limits_.connections_per_side());
    loop_.handle(ProcessOverlap{may_overlap});
}

void Sidecar::listen_for_peers() {
    peers_.emplace(io_, *config_.peer_listen, config_.peers, config_.peers_all,
                   [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                       loop_.handle(PeerMessage{from, std::move(bytes)});
                   });
}

void Sidecar::join_cluster() {
    if (!config_.may_tell) {
        net::log(net::LogLevel::warn, "cluster.off", {{"why", "limits.may-tell forbids peer messages"}});
        return;
    }
    try {
        cluster_.emplace(io_, *config_.cluster, config_.name, MOTHRING_VERSION, cluster_callbacks());
    } catch (const boost::system::system_error& error) {
        if (net::is_resource_shortage(error.code())) throw;
        throw config::ConfigError("cannot listen on the address of 'cluster.bind': " +
                                  error.code().message());
    }
}

cluster::Agent::Callbacks Sidecar::cluster_callbacks() {
    cluster::Agent::Callbacks callbacks;
    callbacks.view_changed = [this](const cluster::View& view) {
        net::log(net::LogLevel::info, "cluster.view",
                 {{"present", view.present()}, {"expected", view.expected}, {"quorum", view.quorum()}});
        loop_.handle(MemberView{static_cast<std::uint32_t>(view.present()), view.quorum()});
    };
    callbacks.member_changed = [](const cluster::Effects::Change& change) {
        net::LogFields fields{{"member", change.name}, {"incarnation", change.incarnation}};
        if (!change.by.empty()) fields["by"] = change.by;
        net::log(net::LogLevel::info, "member." + change.what, std::move(fields));
    };
    callbacks.rejected = [this](cluster::Rejection why, const std::string& from) {
        cluster_rejections_.log(net::LogLevel::warn, "cluster.rejected",
                                {{"why", cluster::name_of(why)}, {"from", from}});
    };
    return callbacks;
}

// ---- The listener for clients -----------------------------------------------------------------------------

void Sidecar::on_list_updated() {
    if (!listener_ && endpoints_.listed_count() > 0) listen_for_clients_with_retry();
}

void Sidecar::listen_for_clients() {
    listener_.emplace(io_, config_.listen, limits_.connections_per_side(), config_.operators.has_value(),
                      budget_, listener_callbacks());
    log_addresses();
}

/// While another process of this sidecar runs, this one may start to listen long after its start. If that
/// fails for lack of a descriptor or of memory, it is retried, so that the process does not stay without a
/// listener.
void Sidecar::listen_for_clients_with_retry() {
    try {
        listen_for_clients();
    } catch (const boost::system::system_error& error) {
        net::log(net::LogLevel::warn, "sidecar.not_listening", {{"error", error.code().message()}});
        listen_timer_.expires_after(net::to_duration(kListenRetryDelay));
        listen_timer_.async_wait(guard_.while_alive([this] {
            if (!listener_ && !shutdown_.in_progress()) listen_for_clients_with_retry();
        }));
    }
}

DownstreamListener::Callbacks Sidecar::listener_callbacks() {
    DownstreamListener::Callbacks callbacks;
    callbacks.on_request = [this](DownstreamListener::IncomingRequest incoming) {
        forwarder_.on_request(std::move(incoming));
    };
    callbacks.on_body_complete = [this](RequestId id) { forwarder_.on_body_complete(id); };
    callbacks.on_body_overdue = [this](RequestId id) { forwarder_.on_body_overdue(id); };
    callbacks.on_client_disconnected = [this](RequestId id) { forwarder_.on_client_disconnected(id); };
    callbacks.on_response_stalled = [this](RequestId id) { forwarder_.on_response_stalled(id); };
    callbacks.on_response_ended = [this](RequestId id, bool is_complete) {
        in_flight_.complete(id, is_complete);
    };
    callbacks.on_drained = [this] { shutdown_.finish(); };
    return callbacks;
}

void Sidecar::log_addresses() const {
    net::LogFields addresses{{"listen", net::format_endpoint(listener_->address())}, {"pid", ::getpid()}};
    if (operators_) addresses["operator"] = net::format_endpoint(operators_->address());
    if (peers_) addresses["peers"] = net::format_endpoint(peers_->address());
    if (cluster_) addresses["cluster"] = net::format_endpoint(cluster_->address());
    net::log(net::LogLevel::info, "sidecar.listening", std::move(addresses));
}

// ---- Calls of the program and of its operators ------------------------------------------------------------

void Sidecar::reconfigure(const config::Config& config) {
    if (config.discovery == config_.discovery) return;
    net::log(net::LogLevel::info, "discovery.moved", {{"address", net::format_endpoint(config.discovery)}});
    config_.discovery = config.discovery;
    endpoint_list_.change_address(config.discovery);
}

void Sidecar::drain(std::function<void()> on_drained) {
    if (shutdown_.in_progress()) return;
    shutdown_.begin(std::move(on_drained));
    if (cluster_) cluster_->leave();
    if (listener_)
        shutdown_.drain(*listener_);
    else
        shutdown_.finish();
}

/// If there is no memory to schedule the sweep either, the next failure schedules it.
void Sidecar::handle_failure() {
    overdue_sweep_.watch_all();
    try {
        overdue_sweep_.schedule();
        if (listener_) listener_->resume_accepting();
    } catch (const std::exception&) {
        return;
    }
}

std::optional<net::Tcp::endpoint> Sidecar::operator_address() const {
    return operators_ ? std::optional(operators_->address()) : std::nullopt;
}

bool Sidecar::ready() const { return listener_ && endpoints_.listed_count() > 0 && !shutdown_.in_progress(); }

Metrics Sidecar::metrics() const {
    Metrics metrics = metrics_;
    metrics.attempts = upstream_.stats().attempts;
    metrics.in_flight = in_flight_.size();
    metrics.servers_listed = endpoints_.listed_count();
    metrics.list = endpoint_list_.state();
    const Balancer::Gauges gauges = loop_.gauges();
    metrics.servers_unavailable = gauges.unavailable;
    metrics.requests_expected_late = gauges.hopeless;
    if (cluster_) metrics.cluster = cluster_->statistics();
    return metrics;
}

}  // namespace mothring::node
