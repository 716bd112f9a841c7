#include "discovery_backoff.hpp"

#include <algorithm>

namespace mothring {

namespace {

// A change of the list counts as notified 6 s after discovery had it and could be reached (PROTOCOL,
// "Figures"). Within that: at most 1.5 s until the next call, 2 s if that one hangs, 0.3 s until the one
// after it, and 2 s for its turn.
constexpr Millis kCeiling = 1500;
/// Past those 6 s not all calls of a large fleet can be answered in time, so that they are spread over this
/// share of the time that has passed.
constexpr double kShareOfFailingTime = 0.25;
// Small fleets overload nothing, and wait less.
constexpr Millis kMinCeilingPerSidecar = 60;
constexpr Millis kMaxCeilingPerSidecar = 400;
/// After the first failure that may concern this sidecar alone.
constexpr Millis kShortWait = 300;
/// After a call that no connection accepted: it kept nobody busy.
constexpr Millis kReconnectWait = 500;
/// Where it is not known when a change counts as notified; doubles with each failure.
constexpr Millis kFirstUnboundedWait = 1000;

/// From half to all of a wait, evenly.
double jitter(Random& random) { return 0.5 + random.unit() / 2; }

}  // namespace

DiscoveryBackoff::DiscoveryBackoff(std::uint32_t fleet_size)
    : min_ceiling_(std::min(kMinCeilingPerSidecar * fleet_size, kCeiling)),
      max_ceiling_(std::clamp(kMaxCeilingPerSidecar * fleet_size, kCeiling, kMaxWait)),
      unbounded_wait_(kFirstUnboundedWait) {}

void DiscoveryBackoff::reset() {
    failing_since_.reset();
    unbounded_wait_ = kFirstUnboundedWait;
}

Millis DiscoveryBackoff::wait_after(const EndpointList& failed, Millis now, Random& random) {
    if (!failed.notified_within) return wait_without_bound(random);
    if (failed.failure == ListFailure::unreachable) {
        // The time until a change counts as notified has not begun.
        failing_since_.reset();
        return kReconnectWait * jitter(random);
    }
    const bool is_first = !failing_since_;
    if (is_first) failing_since_ = now;
    // A subscription that ended or fell silent may have done so for the whole fleet, or for this sidecar
    // alone.
    const bool is_retried_soon = failed.failure == ListFailure::timed_out
                                     ? *failed.notified_within > 0
                                     : is_first && failed.failure == ListFailure::broken;
    if (is_retried_soon) return kShortWait * jitter(random);
    const Millis wait = ceiling(now) * jitter(random);
    if (!failed.retry_after) return wait;
    // Not before discovery asks for, and not all at the same moment.
    return std::min(*failed.retry_after, max_ceiling_) + wait / 2;
}

Millis DiscoveryBackoff::ceiling(Millis now) const {
    return std::clamp((now - *failing_since_) * kShareOfFailingTime, min_ceiling_, max_ceiling_);
}

Millis DiscoveryBackoff::wait_without_bound(Random& random) {
    const Millis wait = unbounded_wait_ * (0.5 + random.unit());
    unbounded_wait_ = std::min(2 * unbounded_wait_, kMaxWait);
    return wait;
}

}  // namespace mothring
