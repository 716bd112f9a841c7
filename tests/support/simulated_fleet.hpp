/// @file
/// A fleet of balancers, its servers and its clients, in simulated time.
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
constexpr double kDefaultSlowPace = 0.45;
constexpr Millis kDefaultRestart = 20000;
constexpr Millis kDefaultLength = 50000;

/// What happens in a simulated fleet.
struct FleetScenario {
    std::size_t balancers = kDefaultBalancers;
    std::size_t servers = kDefaultServers;
    /// The traffic, as a share of what all servers can do when warm.
    double load = kDefaultLoad;
    /// The share of the servers that are of the slow kind, and their pace as a share of a fast one's.
    double slow_share = 0;
    double slow_pace = kDefaultSlowPace;
    /// The spread of the balancers' shares of the traffic; 0: all alike.
    double skew = 1;
    /// The first balancer's share of all traffic; 0: as drawn.
    double largest_share = 0;
    /// Of each server.
    int cores = 2;
    /// Allows what the platform's terms word, which is wider where a server may be sent fewer than 30.
    bool allowance_by_terms = false;
    /// The traffic at a time, as a multiple of `load`.
    std::function<double(Millis now)> demand = [](Millis) { return 1.0; };
    /// Which servers restart at `restarts_at`.
    std::function<bool(std::size_t server)> restarts = [](std::size_t server) { return server == 0; };
    Millis restarts_at = kDefaultRestart;
    Millis length = kDefaultLength;
    /// When all balancers restart; 0: never.
    Millis balancers_restart_at = 0;
    /// How often they do, one Settings::overload_window apart.
    int balancer_restarts = 1;
    /// Changes the settings of all balancers.
    std::function<void(Settings&)> adjust_settings = [](Settings&) {};
    std::uint64_t seed = 1;
};

/// Runs a scenario and records what all balancers together send to each server that is warming up.
class SimulatedFleet {
public:
    /// Runs the whole scenario. Equal scenarios give equal runs.
    explicit SimulatedFleet(FleetScenario scenario);

    /// What a server that was warming up was sent in a window, against what it may be sent.
    struct Window {
        /// Sent over allowed: above 1 the server was overloaded (rule 4).
        double ratio = 0;
        double sent = 0;
        double allowed = 0;
        Millis from = 0;
    };
    /// The window of the highest ratio, of all servers.
    Window worst_window() const;

    /// How many requests all servers were sent while they were warming up.
    std::size_t sent_to_warming_up() const;

    /// Of the requests that arrived after the restart, the share that was completed in time.
    double completed_share() const { return static_cast<double>(completed_) / static_cast<double>(arrived_); }

private:
    /// An attempt at a server.
    struct Job {
        std::size_t balancer;
        /// The balancer's when it sent the job.
        std::uint64_t incarnation;
        RequestId id;
        std::uint32_t attempt;
        Millis sent_at;
    };
    struct Server {
        bool is_slow = false;
        /// 0: long ago.
        Millis started_at = 0;
        int busy_cores = 0;
        std::deque<Job> queue;
        /// When it was sent something while it was warming up.
        std::vector<Millis> sent_at;
    };
    struct Sidecar {
        std::unique_ptr<Balancer> balancer;
        std::uint64_t incarnation = 0;
        std::map<RequestId, std::uint32_t> attempts;
    };
    /// Something to do at a time; what is due at the same time is done in the order in which it was
    /// scheduled.
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
    void carry_out(std::size_t index, const Action& action);
    void enqueue(std::size_t server, const Job& job);
    void serve_queue(std::size_t server);
    void complete(const Job& job);

    EndpointList list() const;
    /// The share of its capacity that a server has at a time.
    double capacity_share(const Server& server, Millis now) const;
    /// How long one core works on a request.
    Millis service_time(const Server& server, double capacity) const;
    /// What a server may be sent in the window from a time on.
    double allowance(const Server& server, Millis from) const;

    const FleetScenario scenario_;
    const Settings settings_;
    std::mt19937_64 random_;
    std::vector<Server> servers_;
    std::vector<Sidecar> sidecars_;
    /// The sidecars' shares of the traffic, and their sum.
    std::vector<double> shares_;
    double sum_of_shares_ = 0;
    /// Requests in a millisecond that all servers can do when warm.
    double capacity_ = 0;
    std::priority_queue<Task> tasks_;
    std::uint64_t next_order_ = 0;
    RequestId next_id_ = 1;
    Millis now_ = 0;
    std::size_t arrived_ = 0;
    std::size_t completed_ = 0;
};

}  // namespace mothring::test
