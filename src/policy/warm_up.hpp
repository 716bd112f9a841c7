/// @file
/// The progress of a server's warm-up after its start.
#pragma once

#include <algorithm>

#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// Returns the progress of a server's warm-up, from 0 at its start to 1 when it is warm.
inline double warm_up_progress(const EndpointInfo& server, const Settings& settings, Millis now) {
    if (settings.slow_start_window <= 0 || server.started_at <= 0) return 1;
    return std::clamp((now - server.started_at) / settings.slow_start_window, 0.0, 1.0);
}

inline bool is_warming_up(const EndpointInfo& server, const Settings& settings, Millis now) {
    return warm_up_progress(server, settings, now) < 1;
}

}  // namespace mothring
