/// @file
/// Identifiers and units that settings, events and actions share.
#pragma once

#include <cstdint>

namespace mothring {

/// A time or a duration in milliseconds, with fractions. Times are on any clock that never goes back.
using Millis = double;

/// Names a server; chosen by the caller, like the other identifiers. Values carry no meaning.
using ServerId = std::uint32_t;
/// Names an availability zone.
using ZoneId = std::uint32_t;
/// Names a kind of machine, such as a type with two fast cores.
using KindId = std::uint32_t;
/// Names a client's request; never used twice.
using RequestId = std::uint64_t;
/// Names a timer set by the balancer.
using TimerToken = std::uint64_t;

}  // namespace mothring
