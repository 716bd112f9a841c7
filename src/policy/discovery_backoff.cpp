#include "discovery_backoff.hpp"

#include <algorithm>

namespace mothring {

namespace {

/// A change of the list counts as notified 6 s after discovery has the change and can be reached. A wait of
/// at most 1.5 s meets this limit even if one call hangs: 1.5 s until the next call, 2 s until that call
/// times out, 0.3 s until the call after it, and 2 s until discovery handles that call.
constexpr Millis kWaitCeiling = 1500;
/// The longest wait as a share of the time for which calls have been failing. Once the 6 s have passed,
/// discovery cannot answer all calls of a large fleet in time, so the calls are spread over a longer time.
constexpr double kShareOfFailingTime = 0.25;
// The ceilings of the wait grow with the fleet size. A small fleet does not overload discovery, so it waits
// less.
constexpr Millis kMinCeilingPerSidecar = 60;
constexpr Millis kMaxCeilingPerSidecar = 400;
/// The wait after the first failure that may concern this sidecar alone.
constexpr Millis kShortWait = 300;
/// The wait after a call for which no connection was accepted. Such a call costs discovery nothing.
constexpr Millis kReconnectWait = 500;
/// The first wait if it is not known when a change counts as notified. The wait doubles with each failure.
constexpr Millis kInitialWaitWithoutDeadline = 1000;

/// Returns a random factor, uniform between 0.5 and 1.
double jitter(Random& random) { return 0.5 + random.unit() / 2; }

}  // namespace

DiscoveryBackoff::DiscoveryBackoff(std::uint32_t fleet_size)
    : min_ceiling_(std::min(kMinCeilingPerSidecar * fleet_size, kWaitCeiling)),
      max_ceiling_(std::clamp(kMaxCeilingPerSidecar * fleet_size, kWaitCeiling, kMaxWait)),
      next_wait_without_deadline_(kInitialWaitWithoutDeadline) {}

void DiscoveryBackoff::reset() {
    failing_since_.reset();
    next_wait_without_deadline_ = kInitialWaitWithoutDeadline;
}

Millis DiscoveryBackoff::wait_after(const EndpointList& failed, Millis now, Random& random) {
    if (!failed.notified_within) return wait_without_deadline(random);
    if (failed.failure == ListFailure::unreachable) {
        // Discovery could not be reached, so the time until a change counts as notified has not started.
        failing_since_.reset();
        return kReconnectWait * jitter(random);
    }
    const bool is_first = !failing_since_;
    if (is_first) failing_since_ = now;
    // A subscription that broke or timed out may have failed for the whole fleet or for this sidecar alone.
    // In case only this sidecar is concerned, the call is repeated soon after the first break, and after each
    // timeout before missed changes count as notified.
    const bool is_retried_soon = failed.failure == ListFailure::timed_out
                                     ? *failed.notified_within > 0
                                     : is_first && failed.failure == ListFailure::broken;
    if (is_retried_soon) return kShortWait * jitter(random);
    const Millis wait = wait_ceiling(now) * jitter(random);
    if (!failed.retry_after) return wait;
    // The call is made no earlier than discovery asks for, with jitter so that sidecars do not call all at
    // once.
    return std::min(*failed.retry_after, max_ceiling_) + wait / 2;
}

Millis DiscoveryBackoff::wait_ceiling(Millis now) const {
    return std::clamp((now - *failing_since_) * kShareOfFailingTime, min_ceiling_, max_ceiling_);
}

Millis DiscoveryBackoff::wait_without_deadline(Random& random) {
    const Millis wait = next_wait_without_deadline_ * (0.5 + random.unit());
    next_wait_without_deadline_ = std::min(2 * next_wait_without_deadline_, kMaxWait);
    return wait;
}

}  // namespace mothring
