// The sidecar's one clock: Unix milliseconds when it started, plus what the steady clock has counted since,
// so it can be held against the `started_ms` of servers and never goes back.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include "mothring/types.hpp"

namespace mothring::net {

inline Millis millis(auto length) { return std::chrono::duration<Millis, std::milli>(length).count(); }
inline std::chrono::microseconds to_duration(Millis length) {
    constexpr double kMicrosecondsPerMillisecond = 1000;
    return std::chrono::microseconds(static_cast<std::int64_t>(length * kMicrosecondsPerMillisecond));
}

// Reads a wall clock: Unix time in milliseconds, which may be stepped at any moment, forward or back.
using ReadWallClock = std::function<Millis()>;
inline Millis read_system_clock() { return millis(std::chrono::system_clock::now().time_since_epoch()); }

class Clock {
public:
    using Steady = std::chrono::steady_clock;
    // `skew`: by how much it is off (ms), for experiments. `read_wall`: the machine's wall clock.
    explicit Clock(Millis skew = 0, ReadWallClock read_wall = read_system_clock)
        : skew_(skew), read_wall_(std::move(read_wall)), unix_(wall_time()), steady_(Steady::now()) {}

    Millis now() const { return unix_ + millis(Steady::now() - steady_); }
    // What the wall clock says at this moment (Unix ms): only for what other machines date by theirs. Spans
    // of time are counted by now(), which no step moves.
    Millis wall_time() const { return skew_ + read_wall_(); }
    // The first moment at which now() has reached it.
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
