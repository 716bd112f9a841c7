/// @file
/// The effects of endpoint lists on the known servers and their indexes.
#include "endpoint_set.hpp"

#include <set>
#include <utility>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

constexpr Millis kNow = 100000;

std::vector<ServerId> update(EndpointSet& endpoints, ListKind kind, const std::vector<EndpointInfo>& infos) {
    if (kind != ListKind::incremental) endpoints.unlist_all();
    for (const EndpointInfo& info : infos) endpoints.update(info);
    return endpoints.update_indexes({kind, infos}, kNow);
}

std::vector<ServerId> identifiers(const std::vector<Endpoint*>& index) {
    std::vector<ServerId> ids;
    ids.reserve(index.size());
    for (const Endpoint* endpoint : index) ids.push_back(endpoint->info.id);
    return ids;
}

TEST(EndpointSet, RemovesServersMissingFromAFullListButNotFromAnIncrementalOne) {
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
    EXPECT_GT(count_sent_concurrently_to(harness, 60, 2), 0);
}

TEST(EndpointSet, QueuesRequestsWhileTheListIsEmpty) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    harness.deliver_list(ListKind::full, {});
    const RequestId waiting = harness.start_request();
    EXPECT_FALSE(harness.is_in_flight(waiting));
    harness.now += 20;
    harness.deliver_list(ListKind::full, make_servers(2));
    EXPECT_TRUE(harness.is_in_flight(waiting)) << "sent as soon as a server is listed";
    harness.deliver_list(ListKind::full, {});
    harness.start_request();
    harness.expect_all_answered();
}

TEST(EndpointSet, DistinguishesANewProcessFromAKnownOne) {
    const Settings settings = make_settings();
    EndpointSet endpoints(settings);
    EXPECT_TRUE(endpoints.update({1, 0, 0, EndpointState::active, 500}).is_new_process) << "a new server";
    EXPECT_FALSE(endpoints.update({1, 0, 0, EndpointState::draining, 500}).is_new_process);
    EXPECT_FALSE(endpoints.update({1, 0, 0, EndpointState::active, 400}).is_new_process) << "an older entry";
    EXPECT_TRUE(endpoints.update({1, 0, 0, EndpointState::active, 501}).is_new_process);
}

TEST(EndpointSet, KeepsItsIndexesSortedByIdentifier) {
    const Settings settings = make_settings();
    EndpointSet endpoints(settings);
    std::vector<EndpointInfo> infos = make_servers(5);
    infos[1].state = EndpointState::draining;
    infos[3].started_at = kNow;
    std::swap(infos[0], infos[4]);
    update(endpoints, ListKind::full, infos);
    EXPECT_EQ(identifiers(endpoints.active()), (std::vector<ServerId>{1, 3, 4, 5}));
    EXPECT_EQ(identifiers(endpoints.warming_up()), (std::vector<ServerId>{4}));
    EXPECT_EQ(endpoints.active_by_kind().at(1), 3);
    EXPECT_EQ(endpoints.active_by_kind().at(0), 1);
    update(endpoints, ListKind::incremental, {{2, 2, 0, EndpointState::active, 0, 0}});
    EXPECT_EQ(identifiers(endpoints.active()), (std::vector<ServerId>{1, 2, 3, 4, 5}));
    EXPECT_EQ(endpoints.active_by_kind().at(0), 2);
}

TEST(EndpointSet, KeepsARemovedServerWhileItHasAttemptsInFlight) {
    const Settings settings = make_settings();
    EndpointSet endpoints(settings);
    update(endpoints, ListKind::full, make_servers(3));
    endpoints.at(2).in_flight = 1;
    EXPECT_EQ(update(endpoints, ListKind::full, make_servers(1)), (std::vector<ServerId>{3}));
    ASSERT_NE(endpoints.find(2), nullptr);
    EXPECT_EQ(identifiers(endpoints.active()), (std::vector<ServerId>{1}));
    EXPECT_FALSE(endpoints.erase_if_unused(2));
    endpoints.at(2).in_flight = 0;
    EXPECT_TRUE(endpoints.erase_if_unused(2));
    EXPECT_EQ(endpoints.find(2), nullptr);
    EXPECT_FALSE(endpoints.erase_if_unused(2)) << "no longer known";
}

}  // namespace
}  // namespace mothring::test
