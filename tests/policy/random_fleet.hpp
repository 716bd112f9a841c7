/// @file
/// A random fleet around one balancer, which records the balancer's actions.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "digest.hpp"
#include "generator.hpp"
#include "mothring/balancer.hpp"

namespace mothring::test {

/// Simulates servers with faults, discovery and clients as one balancer sees them. The settings, the servers
/// and the events are derived from the seed.
class RandomFleet {
public:
    explicit RandomFleet(std::uint64_t seed);

    /// Plays a sequence of events with this number of requests until no event is scheduled any more.
    /// @return a digest of all actions.
    std::uint64_t play(int requests);

    /// Returns the number of actions of each kind, by the tag of the kind.
    const std::map<char, int>& action_counts() const { return action_counts_; }

private:
    struct Server {
        EndpointInfo info;
        Millis service_time = 0;
        /// The share of its attempts that fail.
        double failure_rate = 0;
        /// The outcome of the attempts that fail.
        Outcome failure = Outcome::failed;
    };
    struct Request {
        std::uint32_t attempts = 0;
        bool has_ended = false;
        /// The servers of the attempts in flight, by the number of the attempt.
        std::map<std::uint32_t, ServerId> in_flight;
    };
    using Task = std::function<void()>;
    using ServerChange = std::function<void(Server&)>;

    Server draw_server(ServerId id, Millis started_at);
    void make_faulty(Server& server);
    std::vector<EndpointInfo> listed() const;

    void schedule(Millis at, Task task);
    void schedule_in(Millis delay, Task task) { schedule(now_ + delay, std::move(task)); }
    void schedule_next_request();
    void start_request();
    void schedule_next_disturbance();
    void disturb();

    Server& draw_known_server() { return servers_[1 + draw_.below(server_count_)]; }
    /// Changes a server without a new entry in the endpoint list.
    void change_server(const ServerChange& change) { change(draw_known_server()); }
    /// Changes a server and delivers its new entry in an incremental list.
    void change_listed_server(const ServerChange& change);
    void add_server();
    void replace_server();
    void fail_list();
    void lose_zone();
    void deliver_unused_events();

    void deliver(const Event& event);
    void end_attempt(RequestId id, std::uint32_t attempt, Outcome outcome, Millis duration);
    int count_in_flight_at(ServerId server) const;

    void record(char tag);
    void take(const SendAttempt& send);
    void take(const CancelAttempt& cancellation);
    void take(const RejectRequest& rejection);
    void take(const FailRequest& failure);
    void take(const SetTimer& timer);
    void take(const Subscribe& subscription);
    void take(const EndpointEjected& ejection);
    void take(const EndpointRestored& restoration);
    static void take(const auto&) { ADD_FAILURE() << "the balancer never takes an action of this kind"; }
    /// Schedules the end of an attempt that has been sent to a server.
    void schedule_end(const SendAttempt& send, std::uint32_t attempt);

    Generator draw_;
    Settings settings_;
    std::uint32_t server_count_;
    Millis request_gap_;
    Balancer balancer_;
    Digest digest_;
    Millis now_ = kStart;
    int events_ = 0;
    int requests_left_ = 0;
    RequestId next_request_ = 1;
    std::uint64_t next_order_ = 0;
    /// The scheduled functions, by their time and then by the order in which they were scheduled.
    std::map<std::pair<Millis, std::uint64_t>, Task> tasks_;
    std::map<ServerId, Server> servers_;
    std::map<RequestId, Request> requests_;
    std::map<char, int> action_counts_;

    static constexpr Millis kStart = 100000;
};

}  // namespace mothring::test
