/// @file
/// Identifiers and units that settings, events and actions share.
#pragma once

#include <cstdint>

namespace mothring {

/// A time or a duration in milliseconds, with fractions. Times may come from any monotonic clock.
using Millis = double;

/// Identifies a server. The caller chooses the value, as for the other identifiers except TimerToken; values
/// carry no meaning.
using ServerId = std::uint32_t;
/// Identifies an availability zone.
using ZoneId = std::uint32_t;
/// Identifies a kind of machine, such as a type with two fast cores.
using KindId = std::uint32_t;
/// Identifies a client's request; never reused.
using RequestId = std::uint64_t;
/// Identifies a timer requested by the balancer.
using TimerToken = std::uint64_t;

}  // namespace mothring
