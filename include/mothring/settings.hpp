/// @file
/// What a deployment states at start: its request classes, limits and prices.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "mothring/types.hpp"

namespace mothring {

constexpr Millis kDefaultLatencyObjective = 1000;
constexpr Millis kDefaultOverloadWindow = 3000;
constexpr double kDefaultAffinityLoadBound = 1.25;

/// Whether a request may be executed more than once.
enum class Idempotency {
    always,    ///< Any number of times.
    with_key,  ///< Servers that share a deduplication scope drop repeats of one idempotency key.
    never      ///< At most once: after an attempt that may have run there is no other.
};

/// Which servers share the memory of idempotency keys already seen.
enum class DedupScope { all, zone, cell };

/// A class of requests that are handled alike.
struct RequestClass {
    Idempotency idempotency = Idempotency::never;
    /// For Idempotency::with_key: the servers that drop a repeat.
    DedupScope dedup_scope = DedupScope::cell;
    /// For Idempotency::with_key: repeats are dropped for this long after the first attempt that may have
    /// run.
    Millis dedup_window = 0;
    /// A response within this time earns its full value. More than 0.
    Millis latency_objective = kDefaultLatencyObjective;
    /// The objective grows by this multiple of the request's expected work.
    double objective_per_effort = 0;
    /// The value of one request relative to other classes. 0 or more.
    double priority_weight = 1;
    /// The zones open to every attempt of the class; absent: all.
    std::optional<std::vector<ZoneId>> zones{};
    /// The kinds of machine open to every attempt of the class; absent: all.
    std::optional<std::vector<KindId>> kinds{};
};

/// Prices as shares of the whole result; 0 leaves a matter out of account.
struct Costs {
    /// Of each attempt at a server in another zone than Settings::my_zone.
    double cross_zone = 0;
};

/// The settings of one sidecar. Balancer's constructor checks them.
struct Settings {
    /// At least one.
    std::vector<RequestClass> classes;
    /// The sidecar's own zone; absent: not known, and no zone is nearer than another.
    std::optional<ZoneId> my_zone;
    /// Sidecars that share the servers, this one included.
    std::uint32_t fleet_size = 1;
    /// The endpoint list comes only to those who subscribe to it.
    bool must_subscribe = false;
    /// A subscription that failed is renewed within this; 0: no such bound.
    Millis resubscribe_within = 0;
    /// Attempts for one request, the first included. At least 1.
    std::uint32_t max_attempts = 3;
    /// Two attempts of one request may be in flight at a time (hedged requests).
    bool may_hedge = false;
    /// CancelAttempt is permitted.
    bool may_cancel = true;
    /// The longest Retry-After that clients follow; 0: they are given none.
    Millis max_retry_after = 0;
    /// The share of its capacity that a server has at least right after its start, 0 to 1.
    double slow_start_min_capacity = 1;
    /// A server reaches its whole capacity this long after its start; 0: at once.
    Millis slow_start_window = 0;
    /// A server that is warming up collapses when it is sent more than this multiple of its capacity ...
    double overload_multiple = 2;
    /// ... over this time.
    Millis overload_window = kDefaultOverloadWindow;
    /// A server that answers Outcome::overloaded may have run the request all the same.
    bool overloaded_may_have_run = false;
    /// The share of the service that each tenant is entitled to; empty: there are no tenants.
    std::vector<double> tenant_quotas{};
    /// The share of its value that a request beyond its tenant's quota keeps, 0 to 1.
    double over_quota_weight = 1;
    Costs costs;
    /// A server's requests in flight against the mean, beyond which its affinity keys go to the next server.
    double affinity_load_bound = kDefaultAffinityLoadBound;
};

}  // namespace mothring
