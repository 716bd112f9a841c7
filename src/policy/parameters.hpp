/// @file
/// Figures that several parts of the policy share.
#pragma once

#include "mothring/types.hpp"

namespace mothring {

/// Later than any time.
constexpr Millis kNever = 1e15;
/// Earlier than any time.
constexpr Millis kLongAgo = -1e15;

/// Attempts whose outcomes are kept of each server (io.l5d.successRate as its authors describe it).
constexpr std::size_t kWindowSize = 20;
/// How long a server that has failed, or a zone that is out of reach, is sent nothing.
constexpr Millis kEjectionTime = 10000;

/// Time constant of means and rates: long against the gaps between requests, short against a warm-up.
constexpr Millis kRateWindow = 5000;
/// Means follow this many samples where they come sooner than that.
constexpr double kMeanSamples = kWindowSize / 2.0;

/// A server's own responses that weigh as much as what is known of servers like it.
constexpr double kPriorResponses = 3;

/// The mean latency, as a share of its objective, to which admission keeps the attempts in flight: more makes
/// the slower responses late, less rejects where service alone takes that long.
constexpr double kTargetRelativeLatency = 0.46;

/// Attempts in flight at one server that all sidecars together are always allowed.
constexpr double kMinInFlightPerServer = 4;

}  // namespace mothring
