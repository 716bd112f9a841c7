/// @file
/// A simulation of a fleet of balancers with their servers and clients, in simulated time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "mothring/balancer.hpp"

namespace mothring::test {

constexpr std::size_t kDefaultBalancers = 20;
constexpr std::size_t kDefaultServers = 24;
constexpr double kDefaultLoad = 0.55;
constexpr double kDefaultSlowSpeed = 0.45;
constexpr Millis kDefaultRestart = 20000;
constexpr Millis kDefaultLength = 50000;

/// The size of a simulated fleet, its traffic, and its restarts.
struct FleetScenario {
    std::size_t balancers = kDefaultBalancers;
    std::size_t servers = kDefaultServers;
    /// The mean traffic, as a share of the capacity of all servers when warm.
    double load = kDefaultLoad;
    /// The share of the servers that are of the slow kind.
    double slow_share = 0;
    /// The speed of a slow server, as a share of the speed of a fast one.
    double slow_speed = kDefaultSlowSpeed;
    /// The standard deviation of the logarithm of the balancers' shares of the traffic; 0 gives equal shares.
    double skew = 1;
    /// The first balancer's share of all traffic; 0 leaves it as drawn.
    double largest_share = 0;
    /// The number of cores of each server.
    int cores = 2;
    /// Whether the allowance of a server that is expected to be sent fewer than 30 requests in a window
    /// includes three standard deviations instead of two, as the platform's limit on overload permits.
    bool wider_allowance_below_30 = false;
    /// The traffic at a time, as a multiple of `load`.
    std::function<double(Millis now)> demand = [](Millis) { return 1.0; };
    /// Selects the servers that restart at `restarts_at`.
    std::function<bool(std::size_t server)> restarts = [](std::size_t server) { return server == 0; };
    Millis restarts_at = kDefaultRestart;
    Millis length = kDefaultLength;
    /// The time at which all balancers restart; 0 if they never do.
    Millis balancers_restart_at = 0;
    /// The number of restarts of all balancers, each one Settings::overload_window after the last.
    int balancer_restarts = 1;
    /// Changes the settings of all balancers.
    std::function<void(Settings&)> adjust_settings = [](Settings&) {};
    std::uint64_t seed = 1;
};

/// Runs a scenario and records all requests that the balancers send to each server that is warming up.
class SimulatedFleet {
public:
    /// Runs the complete scenario. Equal scenarios give equal runs.
    explicit SimulatedFleet(FleetScenario scenario);

    /// The number of requests that a server was sent in one window during its warm-up, and the number
    /// allowed.
    struct Window {
        /// Sent divided by allowed. The platform requires that a server that is warming up is not overloaded,
        /// so a value above 1 is a failure.
        double ratio = 0;
        double sent = 0;
        double allowed = 0;
        Millis from = 0;
    };
    /// Returns the window with the highest ratio of all servers.
    Window worst_window() const;

    /// Returns the number of requests that all servers together were sent while they were warming up.
    std::size_t sent_to_warming_up() const;

    /// Returns the share of the requests arrived after the servers' restart that completed before their
    /// deadlines.
    double completed_share() const { return static_cast<double>(completed_) / static_cast<double>(arrived_); }

private:
    /// An attempt, queued or in service at a server.
    struct Job {
        std::size_t balancer;
        /// The incarnation of the balancer when it sent the attempt.
        std::uint64_t incarnation;
        RequestId id;
        std::uint32_t attempt;
        Millis sent_at;
    };
    struct Server {
        bool is_slow = false;
        /// The time of its restart; 0 if it has been running since before the simulation.
        Millis started_at = 0;
        int busy_cores = 0;
        std::deque<Job> queue;
        /// The times at which attempts were sent to it while it was warming up.
        std::vector<Millis> sent_at;
    };
    struct Sidecar {
        std::unique_ptr<Balancer> balancer;
        /// The number of times that the balancer has been started.
        std::uint64_t incarnation = 0;
        /// The number of attempts by request.
        std::map<RequestId, std::uint32_t> attempts;
    };
    /// A function that runs at a simulated time. Functions of the same time run in the order in which they
    /// were scheduled.
    struct Task {
        Millis at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Task& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void add_servers();
    void add_sidecars();
    void schedule_restarts();
    void restart_servers();
    void run();

    void schedule(Millis at, std::function<void()> task);
    void start_balancer(std::size_t index);
    void schedule_arrival(std::size_t index, Millis after);
    void deliver(std::size_t index, const Event& event);
    void execute(std::size_t index, const Action& action);
    void enqueue(std::size_t server, const Job& job);
    void serve_queue(std::size_t server);
    void complete(const Job& job);

    EndpointList list() const;
    /// Returns the share of its full capacity that a server has at a time.
    double capacity_share(const Server& server, Millis now) const;
    /// Returns the mean time for which one core works on a request at a share of the full capacity.
    Millis service_time(const Server& server, double capacity) const;
    /// Returns the number of requests that a server may be sent in the window that begins at `from`.
    double allowance(const Server& server, Millis from) const;

    const FleetScenario scenario_;
    const Settings settings_;
    std::mt19937_64 random_;
    std::vector<Server> servers_;
    std::vector<Sidecar> sidecars_;
    /// The sidecars' shares of the traffic, as weights that add up to sum_of_shares_.
    std::vector<double> shares_;
    double sum_of_shares_ = 0;
    /// The number of requests in a millisecond that all servers together can serve when warm.
    double capacity_ = 0;
    std::priority_queue<Task> tasks_;
    std::uint64_t next_order_ = 0;
    RequestId next_id_ = 1;
    Millis now_ = 0;
    std::size_t arrived_ = 0;
    std::size_t completed_ = 0;
};

}  // namespace mothring::test
