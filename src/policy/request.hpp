/// @file
/// What the policy keeps of each request.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// An attempt, in flight or ended.
struct Attempt {
    /// Where it was sent, as listed then.
    EndpointInfo server;
    Millis sent_at = 0;
    bool in_flight = true;
    bool may_have_run = true;
    /// The half-open trial of an ejected server.
    bool is_trial = false;
    /// Its server was warming up when it was sent.
    bool to_warming_up = false;
};

/// A request that has no final answer yet, or attempts in flight.
struct Request {
    RequestId id = 0;
    std::uint32_t class_index = 0;
    /// Its class, with the objective grown by its expected work.
    RequestClass request_class;
    /// The client's, not the objective: giving up at that would make clients retry what a server still works
    /// on.
    Millis deadline = 0;
    /// Counts requests in the order of their arrival.
    std::uint64_t arrival = 0;
    std::uint64_t affinity_hash = 0;
    /// Beyond its tenant's quota.
    bool over_quota = false;
    bool is_retry = false;
    bool has_final_answer = false;
    bool response_started = false;
    bool body_discarded = false;
    /// Waiting for capacity, it is answered at hold_until; whether that timer is set.
    bool has_hold_timer = false;
    Millis hold_until = 0;
    std::vector<Attempt> attempts;

    bool is_in_flight() const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const Attempt& attempt) { return attempt.in_flight; });
    }

    /// The first attempt that may have run; null: none.
    const Attempt* first_possible_run() const {
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
