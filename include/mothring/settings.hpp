/// @file
/// The settings of a deployment: request classes, limits and prices.
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
    with_key,  ///< Servers of one deduplication scope drop repeats of an idempotency key.
    never      ///< At most once; an attempt that may have run is the last one.
};

/// The servers that share one record of the idempotency keys already received.
enum class DedupScope { all, zone, cell };

/// A class of requests that are handled in the same way.
struct RequestClass {
    Idempotency idempotency = Idempotency::never;
    /// For Idempotency::with_key: the servers that drop a repeat of a request.
    DedupScope dedup_scope = DedupScope::cell;
    /// For Idempotency::with_key: the time for which repeats are dropped, counted from the first attempt that
    /// may have run.
    Millis dedup_window = 0;
    /// The response time within which a response has its full value. Must be greater than 0.
    Millis latency_objective = kDefaultLatencyObjective;
    /// The multiple of the request's expected work that is added to the latency objective.
    double objective_per_effort = 0;
    /// The value of one request relative to other classes. Must not be negative.
    double priority_weight = 1;
    /// The zones to which attempts of the class may be sent; all zones if absent.
    std::optional<std::vector<ZoneId>> zones{};
    /// The kinds of machine to which attempts of the class may be sent; all kinds if absent.
    std::optional<std::vector<KindId>> kinds{};
};

/// Prices as shares of the total result. A cost with the price 0 is ignored.
struct Costs {
    /// The price of each attempt at a server outside Settings::my_zone.
    double cross_zone = 0;
};

/// The settings of one sidecar. The constructor of Balancer validates them.
struct Settings {
    /// The request classes. At least one is required.
    std::vector<RequestClass> classes;
    /// The sidecar's own zone. If absent, the zone is not known and all zones count as equally near.
    std::optional<ZoneId> my_zone;
    /// The number of sidecars that share the servers, including this one.
    std::uint32_t fleet_size = 1;
    /// Whether the endpoint list is sent only to subscribers.
    bool must_subscribe = false;
    /// The time within which a failed subscription must be renewed; 0 means no limit.
    Millis resubscribe_within = 0;
    /// The maximum number of attempts for one request, including the first. At least 1.
    std::uint32_t max_attempts = 3;
    /// Whether two attempts of one request may be in flight at the same time (hedged requests).
    bool may_hedge = false;
    /// Whether the balancer may request CancelAttempt.
    bool may_cancel = true;
    /// The longest Retry-After that clients follow; 0 means that clients are given none.
    Millis max_retry_after = 0;
    /// The minimum share of its capacity that a server has right after its start, from 0 to 1.
    double slow_start_min_capacity = 1;
    /// The time after its start at which a server reaches its full capacity; 0 means immediately.
    Millis slow_start_window = 0;
    /// A server that is warming up collapses if it is sent more than this multiple of its capacity during
    /// overload_window.
    double overload_multiple = 2;
    /// The time over which overload_multiple applies.
    Millis overload_window = kDefaultOverloadWindow;
    /// Whether a request may have run although the server responded with Outcome::overloaded.
    bool overloaded_may_have_run = false;
    /// The share of the service that each tenant is entitled to; empty if there are no tenants.
    std::vector<double> tenant_quotas{};
    /// The share of its value that a request over its tenant's quota keeps, from 0 to 1.
    double over_quota_weight = 1;
    Costs costs;
    /// The maximum number of requests in flight at a server relative to the mean of all servers. Above this
    /// bound, the server's affinity keys move to the next server in their order.
    double affinity_load_bound = kDefaultAffinityLoadBound;
};

}  // namespace mothring
