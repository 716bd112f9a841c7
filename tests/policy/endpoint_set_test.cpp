/// @file
/// What lists of servers change.
#include <set>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

TEST(EndpointSet, DropsWhatAFullListLacksAndKeepsWhatAnIncrementLacks) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::cached, make_servers(4));
    harness.deliver_list(ListKind::full, make_servers(2));
    for (int i = 0; i < 50; ++i) EXPECT_LE(run_request(harness, Outcome::completed, 5), 2U);
    harness.deliver_list(ListKind::incremental,
                         {{2, 0, 0, EndpointState::removed, 0}, {5, 0, 0, EndpointState::active, 0}});
    std::set<ServerId> used;
    for (int i = 0; i < 50; ++i) used.insert(run_request(harness, Outcome::completed, 5));
    EXPECT_EQ(used, (std::set<ServerId>{1, 5}));
    EXPECT_EQ(harness.balancer.gauges().servers, 2U);
}

TEST(EndpointSet, TreatsAnEjectedServerThatRestartsAsNew) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(3));
    drive_traffic(harness, 60, 2, Outcome::failed);
    harness.deliver_list(ListKind::incremental, {{2, 0, 0, EndpointState::active, harness.now - 19999}});
    harness.now += 10;
    use_many_servers(harness, 10);
    EXPECT_GT(count_reaching(harness, 60, 2), 0);
}

TEST(EndpointSet, HoldsRequestsWhileTheListIsEmpty) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    harness.deliver_list(ListKind::full, {});
    const RequestId waiting = harness.start_request();
    EXPECT_FALSE(harness.is_in_flight(waiting));
    harness.now += 20;
    harness.deliver_list(ListKind::full, make_servers(2));
    EXPECT_TRUE(harness.is_in_flight(waiting)) << "served as soon as somebody may have it";
    harness.deliver_list(ListKind::full, {});
    harness.start_request();
    harness.expect_all_answered();
}

}  // namespace
}  // namespace mothring::test
