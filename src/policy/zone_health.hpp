/// @file
/// Detection of zones that cannot be reached as a whole.
#pragma once

#include <map>

#include "mothring/events.hpp"
#include "parameters.hpp"

namespace mothring {

/// Counts, for each zone, the attempts that could not reach their server since a server of the zone last
/// responded. Consecutive failures at the same server count once. A zone with enough failures is avoided for
/// kEjectionTime after the last one. Servers that started after the last failure are not affected.
class ZoneHealth {
public:
    /// Records that a server could not be reached.
    /// @return whether this failure makes its zone unreachable.
    bool record_unreachable(const EndpointInfo& server, Millis now);

    /// Records a response of a server.
    void record_response(const EndpointInfo& server);

    /// Returns whether the zone of a server is unreachable for this server.
    bool is_unreachable(const EndpointInfo& server, Millis now) const;

    /// Returns whether any zone may be unreachable.
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
