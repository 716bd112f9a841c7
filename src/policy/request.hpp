/// @file
/// The state that the policy stores for each request.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// An attempt, in flight or ended.
struct Attempt {
    /// The entry of the endpoint list for its server when the attempt was sent.
    EndpointInfo server;
    Millis sent_at = 0;
    bool in_flight = true;
    bool may_have_run = true;
    /// Whether it is the half-open trial of an ejected server.
    bool is_trial = false;
    /// Whether its server was warming up when the attempt was sent.
    bool to_warming_up = false;
    /// Whether its response has started and has then paused for long.
    bool has_stalled = false;

    /// Returns whether admission control counts it while it is in flight.
    bool is_under_admission_limit() const { return !to_warming_up && !has_stalled; }
};

/// A request that has no final answer yet or still has attempts in flight.
struct Request {
    RequestId id = 0;
    std::uint32_t class_index = 0;
    /// Its class, with the latency objective extended for the request's expected work.
    RequestClass request_class;
    /// The time at which the client gives up. The request does not end at its latency objective, as the
    /// client would then retry while a server still works on the request.
    Millis deadline = 0;
    /// A number that grows with each request that arrives.
    std::uint64_t arrival = 0;
    std::uint64_t affinity_hash = 0;
    /// Whether the request exceeds its tenant's quota.
    bool over_quota = false;
    bool is_retry = false;
    bool has_final_answer = false;
    bool response_started = false;
    bool body_discarded = false;
    /// Whether the timer for wait_until is set.
    bool has_wait_timer = false;
    /// The time until which the request may wait for capacity; after it the request gets a final answer.
    Millis wait_until = 0;
    std::vector<Attempt> attempts;
    /// The attempt at an earlier request with the same id, which may have run.
    std::optional<Attempt> earlier_attempt;

    bool is_in_flight() const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const Attempt& attempt) { return attempt.in_flight; });
    }

    /// Returns the first attempt that may have run, or null if there is none.
    const Attempt* first_possible_run() const {
        if (earlier_attempt) return &*earlier_attempt;
        const auto found = std::find_if(attempts.begin(), attempts.end(),
                                        [](const Attempt& attempt) { return attempt.may_have_run; });
        return found == attempts.end() ? nullptr : &*found;
    }

    bool was_sent_to(ServerId server) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& attempt) { return attempt.server.id == server; });
    }
};

}  // namespace mothring
