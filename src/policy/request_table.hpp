/// @file
/// The requests that have no final answer yet or attempts in flight, and their timers.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mothring/types.hpp"
#include "request.hpp"

namespace mothring {

/// Owns the requests, the timers, and the queue of requests that wait for capacity.
class RequestTable {
public:
    /// @return null where the identifier was used before and is still known.
    Request* add(RequestId id);
    /// Null: not known.
    Request* find(RequestId id);

    /// A request has its final answer: it is forgotten with forget_finished() once nothing is in flight.
    void mark_finished(RequestId id) { finished_.push_back(id); }
    void forget_finished();

    /// Queues a request that waits for capacity.
    void enqueue(RequestId id) { waiting_.push_back(id); }
    bool has_waiting() const { return !waiting_.empty(); }
    /// Empties the queue: those that still wait, highest weight first, then the latest to arrive, as in a
    /// crowd the oldest have least use left.
    std::vector<RequestId> take_waiting();

    /// Makes a timer, for a request or for discovery.
    TimerToken add_timer(std::optional<RequestId> request);
    /// What a timer was for.
    struct Timer {
        std::optional<RequestId> request;  ///< Absent: for discovery.
    };
    /// Takes a timer that has fired; absent: not known.
    std::optional<Timer> take_timer(TimerToken token);

    std::size_t size() const { return requests_.size(); }
    std::size_t timers() const { return timers_.size(); }

private:
    std::unordered_map<RequestId, Request> requests_;  // never iterated, as its order is not defined
    std::vector<RequestId> waiting_;                   // may name finished ones
    std::vector<RequestId> finished_;
    std::unordered_map<TimerToken, Timer> timers_;
    TimerToken next_token_ = 1;
    std::uint64_t arrivals_ = 0;
};

}  // namespace mothring
