/// @file
/// Zones that are out of reach as a whole.
#include "zone_health.hpp"

#include <algorithm>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

constexpr Millis kNow = 100000;
constexpr ZoneId kZone = 7;

EndpointInfo server_of_zone(ServerId id) { return {id, kZone, 0, EndpointState::active, 0, 0}; }

// Sixty servers, twenty a zone, are all in use; then requests come one by one, and those that reach zone 1
// find no connection. Returns how many attempts did.
int lose_zone(PolicyHarness& harness) {
    for (int i = 0; i < 60; ++i) harness.complete_in_flight(harness.start_requests(60, 5000), 150);
    int failed = 0;
    for (int i = 0; i < 100; ++i) {
        const RequestId id = harness.start_request();
        while (harness.is_in_flight(id)) {
            const bool is_lost = harness.server_of(id) % 3 == 1;
            failed += is_lost;
            harness.end_attempt(id, is_lost ? Outcome::connect_failed : Outcome::completed, 5);
        }
    }
    return failed;
}

TEST(ZoneHealth, AvoidsAZoneBeforeEachOfItsServersHasFailed) {
    PolicyHarness harness = harness_in_fleet(100, 60);
    EXPECT_EQ(lose_zone(harness), 3);
}

// The list names the servers that have started. The zone's others may still be gone, whatever those respond.
TEST(ZoneHealth, UsesOfALostZoneOnlyWhatHasStartedSince) {
    PolicyHarness harness = harness_in_fleet(100, 60);
    lose_zone(harness);
    std::vector<EndpointInfo> servers = make_servers(60);
    const auto has_restarted = [](ServerId id) { return id % 3 == 1 && id < 30; };
    for (EndpointInfo& server : servers)
        if (has_restarted(server.id)) server.started_at = harness.now;
    harness.now += 4000;
    harness.deliver_list(ListKind::full, servers);
    int sent_to_restarted = 0;
    int sent_to_rest = 0;
    for (int i = 0; i < 20; ++i) {
        const std::vector<RequestId> ids = harness.start_requests(40);
        for (const RequestId id : ids) {
            if (!harness.is_in_flight(id)) continue;
            const ServerId server = harness.server_of(id);
            if (server % 3 != 1) continue;
            ++(has_restarted(server) ? sent_to_restarted : sent_to_rest);
        }
        harness.complete_in_flight(ids, 100);
    }
    EXPECT_GT(sent_to_restarted, 0);
    EXPECT_EQ(sent_to_rest, 0);
}

TEST(ZoneHealth, TriesALostZoneAgainAfterTheEjectionTime) {
    PolicyHarness harness = harness_in_fleet(100, 60);
    lose_zone(harness);
    harness.now += 11000;
    const std::vector<RequestId> ids = harness.start_requests(80);
    EXPECT_TRUE(
        std::any_of(ids.begin(), ids.end(), [&](RequestId id) { return harness.server_of(id) % 3 == 1; }));
}

TEST(ZoneHealth, LosesAZoneByFailuresAtOneServerAfterAnother) {
    ZoneHealth health;
    EXPECT_FALSE(health.record_unreachable(server_of_zone(1), kNow));
    EXPECT_FALSE(health.record_unreachable(server_of_zone(1), kNow)) << "the same server";
    EXPECT_FALSE(health.record_unreachable(server_of_zone(2), kNow));
    EXPECT_FALSE(health.any_unreachable(kNow));
    EXPECT_TRUE(health.record_unreachable(server_of_zone(1), kNow));
    EXPECT_FALSE(health.record_unreachable(server_of_zone(2), kNow)) << "it is lost already";
    EXPECT_TRUE(health.any_unreachable(kNow));
    EXPECT_TRUE(health.is_unreachable(server_of_zone(9), kNow));
    EXPECT_FALSE(health.is_unreachable({9, kZone + 1, 0, EndpointState::active, 0, 0}, kNow));
}

}  // namespace
}  // namespace mothring::test
