/// @file
/// The clock of the sidecar and conversions of durations.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include "mothring/types.hpp"

namespace mothring::net {

/// Converts a duration of the standard library to milliseconds.
inline Millis millis(auto length) { return std::chrono::duration<Millis, std::milli>(length).count(); }
/// Converts milliseconds to a duration of the standard library.
inline std::chrono::microseconds to_duration(Millis length) {
    constexpr double kMicrosecondsPerMillisecond = 1000;
    return std::chrono::microseconds(static_cast<std::int64_t>(length * kMicrosecondsPerMillisecond));
}

/// Reads a wall clock: Unix time in milliseconds, which may be stepped forward or back at any moment.
using ReadWallClock = std::function<Millis()>;
/// Returns the machine's wall-clock time as Unix milliseconds.
inline Millis read_system_clock() { return millis(std::chrono::system_clock::now().time_since_epoch()); }

/// A monotonic clock in Unix milliseconds: the wall-clock time at its start plus the time that the steady
/// clock has counted since. Its times can be compared with the `started_ms` of servers.
class Clock {
public:
    using Steady = std::chrono::steady_clock;
    /// @param skew  milliseconds added to the wall clock, for experiments.
    /// @param read_wall  reads the machine's wall clock.
    explicit Clock(Millis skew = 0, ReadWallClock read_wall = read_system_clock)
        : skew_(skew), read_wall_(std::move(read_wall)), unix_(wall_time()), steady_(Steady::now()) {}

    /// Returns the current time in Unix milliseconds, which steps of the wall clock don't change.
    Millis now() const { return unix_ + millis(Steady::now() - steady_); }
    /// Returns the current wall-clock time in Unix milliseconds, for comparison with times from other
    /// machines' wall clocks only. Durations are measured with now().
    Millis wall_time() const { return skew_ + read_wall_(); }
    /// Returns the earliest time point of the steady clock at which now() is at least `at`.
    Steady::time_point to_time_point(Millis at) const {
        return steady_ +
               std::chrono::ceil<Steady::duration>(std::chrono::duration<Millis, std::milli>(at - unix_));
    }

private:
    Millis skew_;
    ReadWallClock read_wall_;
    Millis unix_;
    Steady::time_point steady_;
};

}  // namespace mothring::net
