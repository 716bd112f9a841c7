/// @file
/// The requests that have no final answer yet or still have attempts in flight, and the timers.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mothring/types.hpp"
#include "request.hpp"

namespace mothring {

/// Stores the requests, the timers, and the queue of requests that wait for capacity.
class RequestTable {
public:
    /// Adds a request.
    /// @return the request, or null if the table already holds one with this identifier.
    Request* add(RequestId id);
    /// Returns the request, or null if it is not known.
    Request* find(RequestId id);

    /// Marks a request for the next forget_finished(). Called when the request gets its final answer and when
    /// an attempt ends after that.
    void mark_finished(RequestId id) { finished_.push_back(id); }
    /// Erases the marked requests that have a final answer and no attempt in flight, and removes all marks.
    void forget_finished();

    /// Queues a request that waits for capacity.
    void enqueue(RequestId id) { waiting_.push_back(id); }
    bool has_waiting() const { return !waiting_.empty(); }
    /// Empties the queue and returns the requests that still wait. Those with the highest priority weight
    /// come first; among equal weights the latest arrival comes first, because during an overload the oldest
    /// requests have the least time left before their deadlines.
    std::vector<RequestId> take_waiting();

    /// Adds a timer of a request or, if `request` is absent, of the calls to discovery.
    TimerToken add_timer(std::optional<RequestId> request);
    /// The owner of a timer.
    struct Timer {
        std::optional<RequestId> request;  ///< Absent if the timer belongs to the calls to discovery.
    };
    /// Removes and returns a timer that has fired; absent if it is not known.
    std::optional<Timer> take_timer(TimerToken token);

    std::size_t size() const { return requests_.size(); }
    std::size_t timers() const { return timers_.size(); }

private:
    std::unordered_map<RequestId, Request> requests_;  // never iterated, as its order is unspecified
    std::vector<RequestId> waiting_;                   // may contain requests that are already finished
    std::vector<RequestId> finished_;
    std::unordered_map<TimerToken, Timer> timers_;
    TimerToken next_token_ = 1;
    std::uint64_t arrivals_ = 0;
};

}  // namespace mothring
