#include "zone_health.hpp"

namespace mothring {

namespace {

/// The number of failures, at any servers of a zone, after which the zone counts as unreachable.
constexpr int kFailuresUntilUnreachable = 3;

}  // namespace

bool ZoneHealth::record_unreachable(const EndpointInfo& server, Millis now) {
    Zone& zone = zones_[server.zone];
    if (zone.failures == 0 || server.id != zone.last_server) ++zone.failures;
    zone.last_server = server.id;
    zone.last_failure_at = now;
    if (zone.failures >= kFailuresUntilUnreachable) unreachable_until_ = now + kEjectionTime;
    return zone.failures == kFailuresUntilUnreachable;
}

void ZoneHealth::record_response(const EndpointInfo& server) {
    Zone& zone = zones_[server.zone];
    const bool none_failed = zone.last_failure_at == 0;
    if (none_failed || server.started_at < zone.last_failure_at) zone = {};
}

bool ZoneHealth::is_unreachable(const EndpointInfo& server, Millis now) const {
    const auto entry = zones_.find(server.zone);
    if (entry == zones_.end()) return false;
    const Zone& zone = entry->second;
    return zone.failures >= kFailuresUntilUnreachable && now < zone.last_failure_at + kEjectionTime &&
           server.started_at < zone.last_failure_at;
}

}  // namespace mothring
