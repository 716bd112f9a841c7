/// @file
/// Tests of placement constraints: which request classes may be sent to which servers.
#include "placement.hpp"

#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

TEST(Placement, KeepsEveryAttemptOfAConfinedClassInItsZone) {
    Settings settings = make_settings({make_class(Idempotency::always), make_class(Idempotency::always)});
    settings.classes[1].zones = {{2}};
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(9));
    for (int i = 0; i < 100; ++i) {
        const RequestId id = harness.start_request(1);
        while (harness.is_in_flight(id)) {
            EXPECT_EQ(harness.server_of(id) % 3, 2U);
            harness.end_attempt(id, Outcome::failed, 1);
        }
        harness.now += 500;
    }
    harness.deliver_list(ListKind::incremental, {{2, 2, 0, EndpointState::removed},
                                                 {5, 2, 1, EndpointState::removed},
                                                 {8, 2, 0, EndpointState::draining}});
    const RequestId id = harness.start_request(1);
    EXPECT_EQ(harness.attempts_of(id), 0U) << "no server of the zone may be used";
    harness.expect_all_answered();
    EXPECT_TRUE(harness.was_rejected(id));
}

TEST(Placement, SendsAConfinedClassToServersOfItsKindThatAreWarmingUp) {
    Settings settings = make_settings({make_class(Idempotency::always)});
    settings.classes[0].kinds = {{1}};
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(6, harness.now));
    int sent = 0;
    for (int i = 0; i < 400; ++i) {
        const RequestId id = harness.start_request(0);
        sent += static_cast<int>(harness.attempts_of(id));
        if (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::completed);
        harness.advance(100);
    }
    EXPECT_GT(sent, 0);
}

TEST(Placement, SendsAnUnknownClassOnlyToServersOpenToEveryClass) {
    Settings settings = make_settings({make_class(Idempotency::always), make_class(Idempotency::always)});
    settings.classes[0].zones = {{0, 1}};
    settings.classes[1].zones = {{1, 2}};
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(9));
    for (int i = 0; i < 20; ++i) {
        const RequestId id = harness.start_request(9);
        EXPECT_EQ(harness.server_of(id) % 3, 1U);
        harness.end_attempt(id, Outcome::completed);
    }
}

TEST(Placement, AllowsServersThatZonesAndKindsBothPermit) {
    Settings settings = make_settings();
    const EndpointInfo server{1, 2, 0, EndpointState::active, 0, 3};
    EXPECT_TRUE(placement_allows(settings, 0, server)) << "the class is not confined";
    settings.classes[0].zones = {{1, 2}};
    EXPECT_TRUE(placement_allows(settings, 0, server));
    settings.classes[0].kinds = {{4}};
    EXPECT_FALSE(placement_allows(settings, 0, server));
    settings.classes[0].kinds = {{3}};
    EXPECT_TRUE(placement_allows(settings, 0, server));
    settings.classes[0].zones = {{1}};
    EXPECT_FALSE(placement_allows(settings, 0, server));
}

}  // namespace
}  // namespace mothring::test
