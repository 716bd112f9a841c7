/// @file
/// The assembly of the sidecar from its parts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "cluster/agent.hpp"
#include "config/config.hpp"
#include "net/clock.hpp"
#include "net/log.hpp"
#include "node/action_executor.hpp"
#include "node/attempt_history.hpp"
#include "node/downstream_listener.hpp"
#include "node/endpoint_directory.hpp"
#include "node/endpoint_list_updater.hpp"
#include "node/event_loop.hpp"
#include "node/graceful_shutdown.hpp"
#include "node/health_checker.hpp"
#include "node/hot_restart_monitor.hpp"
#include "node/in_flight_requests.hpp"
#include "node/lifetime_guard.hpp"
#include "node/metrics.hpp"
#include "node/operator.hpp"
#include "node/overdue_sweep.hpp"
#include "node/peers.hpp"
#include "node/request_forwarder.hpp"
#include "node/request_table.hpp"
#include "node/resource_limits.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// Accepts clients' requests and forwards them to servers. Listens for clients as soon as it is constructed;
/// while another process of the same sidecar runs, as in a hot restart, only once a server is listed.
class Sidecar {
public:
    /// @param io  runs all handlers; must outlive this.
    /// @throws std::invalid_argument if a setting is invalid.
    /// @throws config::ConfigError if it cannot listen on the address for operators or for the cluster.
    /// @throws boost::system::system_error if it cannot listen on the address for clients or peers, or if a
    ///     file descriptor or memory is lacking.
    Sidecar(boost::asio::io_context& io, config::Config config);

    /// Applies the address of discovery from a new configuration, and ignores the rest.
    void reconfigure(const config::Config& config);

    /// Starts the graceful shutdown: finishes the requests in flight and those that still arrive.
    /// @param on_drained  called once no request is left, or the time for the shutdown is over.
    void drain(std::function<void()> on_drained);

    /// Recovers from an exception that has left the io_context's loop or the handling of an event. It is
    /// unknown which work the exception has skipped, so the response of any current request may never be
    /// produced. The requests that are without a response after their deadline are therefore ended.
    void handle_failure();

    net::Tcp::endpoint address() const { return listener_->address(); }
    /// Returns the address for operators. Absent: none is configured.
    std::optional<net::Tcp::endpoint> operator_address() const;
    /// Whether the sidecar accepts requests and has a server to forward them to.
    bool ready() const;
    Metrics metrics() const;
    Balancer::Gauges gauges() const { return loop_.gauges(); }
    /// Returns the number of current requests, including those that only wait for their attempts to end.
    std::size_t request_count() const { return requests_.size(); }
    /// Whether this process uses half of the limits, as another process of this sidecar uses, or may use, the
    /// other half.
    bool limits_halved() const { return limits_.halved(); }
    std::size_t buffered_bytes() const { return budget_->used; }
    /// Returns the memory charged for heads that are not small.
    std::size_t head_bytes() const { return budget_->heads_used; }

private:
    EventLoop::Callbacks loop_callbacks();
    void listen_for_operators();
    void start_hot_restart_monitor();
    void set_memory_limits();
    void set_process_overlap(bool may_overlap);
    void listen_for_peers();
    void join_cluster();
    cluster::Agent::Callbacks cluster_callbacks();
    void on_list_updated();
    void listen_for_clients();
    void listen_for_clients_with_retry();
    DownstreamListener::Callbacks listener_callbacks();
    void log_addresses() const;

    boost::asio::io_context& io_;
    config::Config config_;
    net::Clock clock_;
    ResourceLimits limits_;
    std::shared_ptr<net::BufferBudget> budget_ = std::make_shared<net::BufferBudget>();
    EventLoop loop_;
    RequestTable requests_;
    UpstreamPool upstream_;
    EndpointDirectory endpoints_;
    EndpointListUpdater endpoint_list_;
    std::optional<Peers> peers_;
    std::optional<OperatorListener> operators_;
    std::optional<cluster::Agent> cluster_;
    /// Logs at most one line per second about rejected datagrams, however many arrive.
    net::RateLimitedLog cluster_rejections_{std::chrono::seconds(1)};
    std::optional<HotRestartMonitor> hot_restart_;
    Metrics metrics_;
    InFlightRequests in_flight_;
    GracefulShutdown shutdown_;
    AttemptHistory history_;
    RequestForwarder forwarder_;
    HealthChecker health_checker_;
    ActionExecutor executor_;
    OverdueSweep overdue_sweep_;
    std::optional<DownstreamListener> listener_;
    boost::asio::steady_timer listen_timer_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
