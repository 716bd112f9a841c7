/// @file
/// Simulation of a fleet of cluster members.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cluster/codec.hpp"
#include "cluster/membership.hpp"

namespace mothring::lab {

/// Simulates a fleet of Membership objects in simulated time, with packet loss and partitions between them. A
/// benchmark can measure hours of protocol in seconds, and a test can repeat a run exactly. The simulation
/// uses neither sockets nor threads.
class FleetSim {
public:
    using Membership = cluster::Membership;
    /// Starts the members; each of them knows the first member. `loss` is the probability that a datagram is
    /// lost, independently of other datagrams.
    FleetSim(std::size_t members, const cluster::Parameters& parameters, double loss, std::uint64_t seed);

    /// Advances the simulated time by `length`.
    void run(Millis length);
    Millis now() const { return now_; }
    void kill(std::size_t i);
    /// Starts a new process instance of a killed member. It joins by the first member; the first member
    /// itself joins by the second.
    void restart(std::size_t i);
    void pause(std::size_t i) { nodes_[i].paused = true; }
    void resume(std::size_t i);
    Membership& at(std::size_t i) { return *nodes_[i].membership; }
    bool alive(std::size_t i) const { return nodes_[i].membership != nullptr; }
    std::size_t size() const { return nodes_.size(); }
    static std::string name(std::size_t i) { return std::string("n").append(std::to_string(i)); }
    /// Returns whether the network between two members is open. Random loss is applied in addition.
    std::function<bool(std::size_t from, std::size_t to)> passes = [](std::size_t, std::size_t) {
        return true;
    };

    /// Change of a member's view, with its simulated time and the member that observed it.
    struct Seen {
        Millis at;
        std::size_t observer;
        cluster::Effects::Change change;
    };
    std::vector<Seen> seen;
    /// Size of the sealed messages that all members sent in datagrams and anti-entropy exchanges.
    std::uint64_t bytes = 0;

private:
    struct Node {
        std::unique_ptr<Membership> membership;
        std::unique_ptr<cluster::Codec> codec;
        bool paused = false;
        std::uint64_t instance_id = 0;
        /// Messages received while the member is paused, with the sender's address.
        std::vector<std::pair<std::string, cluster::Message>> unread;
    };
    struct ScheduledAction {
        Millis at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const ScheduledAction& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    static std::size_t index(const std::string& name) { return std::stoul(name.substr(1)); }
    void start_member(std::size_t i);
    void join(std::size_t i, std::size_t by);
    void schedule(Millis delay, std::function<void()> action) {
        schedule_.push({now_ + delay, order_++, std::move(action)});
    }
    void schedule_tick(std::size_t i);
    void apply(std::size_t i, const cluster::Effects& effects);
    void sync(std::size_t a, std::size_t b);

    cluster::Parameters parameters_;
    double loss_;
    std::mt19937_64 random_;
    Millis now_ = 1000;
    std::uint64_t order_ = 0;
    std::vector<Node> nodes_;
    std::priority_queue<ScheduledAction> schedule_;
};

}  // namespace mothring::lab
