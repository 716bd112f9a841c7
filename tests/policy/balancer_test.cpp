/// @file
/// Tests of the balancer as a whole: unknown identifiers, clock steps, deadlines, streamed responses.
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

TEST(Balancer, IgnoresEventsWithUnknownIdentifiers) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    for (const Event& event :
         std::vector<Event>{AttemptEnded{77, 0, Outcome::failed, 1, false}, ClientDisconnected{77},
                            ResponseStarted{77, 3}, TimerFired{999}, HealthCheckEnded{55}, PeerMessage{}}) {
        harness.deliver(event);
        EXPECT_TRUE(harness.last_actions.empty());
    }
    const RequestId id = harness.start_request();
    harness.deliver(AttemptEnded{id, 9, Outcome::failed, 1, false});
    EXPECT_TRUE(harness.last_actions.empty());
    harness.end_attempt(id, Outcome::completed);
    harness.deliver(AttemptEnded{id, 0, Outcome::failed, 1, false});
    EXPECT_TRUE(harness.last_actions.empty());
}

TEST(Balancer, HandlesClockStepsOfZeroAndOfMinutes) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(3));
    for (int i = 0; i < 50; ++i) run_request(harness, Outcome::completed, 0);
    const RequestId id = harness.start_request();
    harness.now += 600000;
    harness.disconnect_client(id);
    harness.end_attempt(id, Outcome::timed_out, 0);
    EXPECT_GT(run_request(harness, Outcome::completed, 10), 0U);
}

TEST(Balancer, AcceptsZeroAsRequestIdentifier) {
    PolicyHarness harness(make_settings());
    harness.next_id = 0;
    harness.start_request(0, 500);
    harness.expect_all_answered();
}

// Guards against ending a request at its latency objective: clients would then repeat a request that a server
// is still processing.
TEST(Balancer, WaitsForALateResponseUntilTheClientsDeadline) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    const RequestId id = harness.start_request(0, 1000);
    harness.advance(900);
    EXPECT_TRUE(harness.is_in_flight(id));
    EXPECT_EQ(harness.answers_of(id), 0);
    harness.advance(200);
    EXPECT_EQ(harness.answers_of(id), 1);
}

TEST(Balancer, SendsNoFinalAnswerAfterTheResponseHasStarted) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    const RequestId id = harness.start_request(0, 1000);
    harness.deliver(ResponseStarted{id, 0});
    harness.requests.at(id).attempts[0].deadline = 1e12;
    harness.advance(5000);
    EXPECT_EQ(harness.answers_of(id), 0);
    harness.end_attempt(id, Outcome::completed);
    EXPECT_EQ(harness.balancer.gauges().requests, 0U);
}

}  // namespace
}  // namespace mothring::test
