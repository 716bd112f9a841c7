/// @file
/// Zones that are out of reach as a whole.
#pragma once

#include <map>

#include "mothring/events.hpp"
#include "parameters.hpp"

namespace mothring {

/// Counts, for each zone, attempts that found nobody, at one server after another, since one of them
/// responded. A zone with enough of them is avoided for kEjectionTime after the last. Servers that started
/// since are not concerned.
class ZoneHealth {
public:
    /// A server could not be reached.
    /// @return whether its zone is out of reach by this.
    bool record_unreachable(const EndpointInfo& server, Millis now);

    /// A server responded.
    void record_response(const EndpointInfo& server);

    /// Whether a server is in a zone that is out of reach.
    bool is_unreachable(const EndpointInfo& server, Millis now) const;

    /// Whether any zone may be out of reach.
    bool any_unreachable(Millis now) const { return now < unreachable_until_; }

private:
    struct Zone {
        int failures = 0;
        Millis last_failure_at = 0;
        ServerId last_server = 0;
    };

    std::map<ZoneId, Zone> zones_;
    Millis unreachable_until_ = 0;
};

}  // namespace mothring
