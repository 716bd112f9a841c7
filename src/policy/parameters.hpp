/// @file
/// Constants that several classes of the policy share.
#pragma once

#include "mothring/types.hpp"

namespace mothring {

/// A time after every time of an event.
constexpr Millis kNever = 1e15;
/// A time before every time of an event.
constexpr Millis kLongAgo = -1e15;

/// The number of attempts whose outcomes are stored for each server, as in Linkerd's failure accrual policy
/// io.l5d.successRate.
constexpr std::size_t kWindowSize = 20;
/// The time for which an ejected server receives no attempts and an unreachable zone is avoided.
constexpr Millis kEjectionTime = 10000;

/// The time constant of decaying means and rates. It is long compared with the gaps between requests and
/// short compared with a server's warm-up.
constexpr Millis kRateWindow = 5000;
/// The number of samples over which a mean averages if they arrive faster than its time constant.
constexpr double kMeanSamples = kWindowSize / 2.0;

/// The number of responses at which a server's own figures weigh as much as those of comparable servers.
constexpr double kPriorResponses = 3;

/// The mean relative latency at which admission control holds the attempts in flight. With a higher target
/// the slower responses miss the objective; with a lower one requests are rejected even if their service time
/// alone takes that long.
constexpr double kTargetRelativeLatency = 0.46;

/// The number of attempts in flight at one server that all sidecars together may always have.
constexpr double kMinInFlightPerServer = 4;

}  // namespace mothring
