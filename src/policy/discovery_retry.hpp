// When to call discovery again after a call for the server list has failed.
//
// Discovery is one service for the whole fleet, and turning a call away costs
// it time too. Sidecars that retry quickly while it is overloaded keep it
// overloaded (a retry storm), and those without a watch never get one. So the
// wait grows with the time for which calls have been turned away: exponential
// backoff in effect, as each wait is a share of all the time before it, with
// jitter so that a fleet's calls do not stay in step.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "mothring/balancer.hpp"
#include "support.hpp"

namespace mothring {

class DiscoveryRetry {
public:
  // Of any wait, where the settings give no other limit.
  static constexpr Millis kLongestWait = 8000;

  // `fleet`: how many sidecars share discovery, this one included.
  explicit DiscoveryRetry(std::uint32_t fleet)
      : least_ceiling_(std::min(kCeilingPerSidecar * fleet, kCeiling)),
        ceiling_limit_(
            std::clamp(kLimitPerSidecar * fleet, kCeiling, kLongestWait)) {}

  // A call has been answered: the next failure is the first of a new run.
  void answered() {
    failing_since_.reset(), unbounded_wait_ = kFirstUnboundedWait;
  }

  // The milliseconds to wait before the next call, given what has become of the
  // last one.
  Millis wait_after(const EndpointList &failed, Millis now, Random &random) {
    if (!failed.notified_within)
      return without_bound(random);
    const bool first = !failing_since_;
    if (failed.failure == ListFailure::unreachable) {
      // Nobody was there to be kept busy, and the time until a change counts as
      // told has not begun.
      failing_since_.reset();
      return kReconnect * jitter(random);
    }
    if (first)
      failing_since_ = now;
    // A watch that ended or fell silent may have done so for everybody, or for
    // this sidecar alone.
    const bool soon = failed.failure == ListFailure::timed_out
                          ? *failed.notified_within > 0
                          : first && failed.failure == ListFailure::broken;
    if (soon)
      return kSoon * jitter(random);
    const Millis wait = ceiling(now) * jitter(random);
    if (!failed.retry_after)
      return wait;
    // Not before discovery asks for, and not all at the same moment.
    return std::min(*failed.retry_after, ceiling_limit_) + wait / 2;
  }

private:
  // A change of the list counts as told 6 s after discovery had it and could be
  // reached (PROTOCOL, "Figures"). Within that bound: at most 1.5 s until the
  // next call, 2 s if that one hangs, 0.3 s until the one after it, and 2 s for
  // its turn.
  static constexpr Millis kCeiling = 1500;
  // Past the bound N sidecars can not all be answered within it, so that calls
  // are spread over a quarter of the time that has passed; the ceiling
  // leaves 1.5 s at 6 s. At kLongestWait N sidecars make N / 6 calls a second,
  // and 8 s and 2 s for the turn are 10 s until the last is back after an
  // overload's end.
  static constexpr double kShareOfFailing = 0.25;
  // A few sidecars overload nothing: a fleet makes up to 22 calls a second
  // before they are thinned out, and of how ever few it is they never come more
  // seldom than about three a second.
  static constexpr Millis kCeilingPerSidecar = 60, kLimitPerSidecar = 400;
  static constexpr Millis kSoon = 300, kReconnect = 500;
  // Where the bound is not known: as it was, doubled with each failure.
  static constexpr Millis kFirstUnboundedWait = 1000;

  // From half to all of a wait, evenly.
  static double jitter(Random &random) { return 0.5 + random.unit() / 2; }

  Millis ceiling(Millis now) const {
    return std::clamp((now - *failing_since_) * kShareOfFailing, least_ceiling_,
                      ceiling_limit_);
  }
  Millis without_bound(Random &random) {
    const Millis wait = unbounded_wait_ * (0.5 + random.unit());
    unbounded_wait_ = std::min(2 * unbounded_wait_, kLongestWait);
    return wait;
  }

  Millis least_ceiling_, ceiling_limit_;
  std::optional<Millis> failing_since_; // the first failure after an answer
  Millis unbounded_wait_ = kFirstUnboundedWait;
};

} // namespace mothring
