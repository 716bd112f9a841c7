/// @file
/// Tests of the detection of unreachable zones.
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

// First uses all of sixty servers, twenty in each zone. Then sends requests one by one, and attempts at zone
// 1 cannot connect. Returns the number of those attempts.
int run_with_lost_zone(PolicyHarness& harness) {
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
    EXPECT_EQ(run_with_lost_zone(harness), 3);
}

// The list shows which servers have restarted. The zone's other servers may still be unreachable, even if the
// restarted ones respond.
TEST(ZoneHealth, UsesOnlyRestartedServersOfAnUnreachableZone) {
    PolicyHarness harness = harness_in_fleet(100, 60);
    run_with_lost_zone(harness);
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

TEST(ZoneHealth, TriesAnUnreachableZoneAgainAfterTheEjectionTime) {
    PolicyHarness harness = harness_in_fleet(100, 60);
    run_with_lost_zone(harness);
    harness.now += 11000;
    const std::vector<RequestId> ids = harness.start_requests(80);
    EXPECT_TRUE(
        std::any_of(ids.begin(), ids.end(), [&](RequestId id) { return harness.server_of(id) % 3 == 1; }));
}

TEST(ZoneHealth, MarksAZoneUnreachableAfterFailuresAtAlternatingServers) {
    ZoneHealth health;
    EXPECT_FALSE(health.record_unreachable(server_of_zone(1), kNow));
    EXPECT_FALSE(health.record_unreachable(server_of_zone(1), kNow))
        << "consecutive failures at the same server count once";
    EXPECT_FALSE(health.record_unreachable(server_of_zone(2), kNow));
    EXPECT_FALSE(health.any_unreachable(kNow));
    EXPECT_TRUE(health.record_unreachable(server_of_zone(1), kNow));
    EXPECT_FALSE(health.record_unreachable(server_of_zone(2), kNow)) << "the zone is already unreachable";
    EXPECT_TRUE(health.any_unreachable(kNow));
    EXPECT_TRUE(health.is_unreachable(server_of_zone(9), kNow));
    EXPECT_FALSE(health.is_unreachable({9, kZone + 1, 0, EndpointState::active, 0, 0}, kNow));
}

}  // namespace
}  // namespace mothring::test
