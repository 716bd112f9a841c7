/// @file
/// How many attempts may be in flight, and which requests wait or are rejected.
#include <cstdint>
#include <variant>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

TEST(AdmissionController, BoundsAttemptsInFlightInACrowdAndRejectsTheRest) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    harness.complete_in_flight(harness.start_requests(200), 700);  // nearly twice the latency objective
    const std::vector<RequestId> ids = harness.start_requests(200);
    const int in_flight = harness.count_in_flight(ids);
    int rejected = 0;
    EXPECT_LT(in_flight, 150);
    EXPECT_GE(in_flight, 4) << "never below one attempt an active server";
    harness.advance(300);
    for (const RequestId id : ids) rejected += harness.was_rejected(id);
    EXPECT_GE(rejected, 200 - in_flight) << "they wait briefly, then are rejected";
}

TEST(AdmissionController, KeepsItsLimitAfterOneSlowResponse) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(3));
    for (int i = 0; i < 20; ++i) run_request(harness, Outcome::completed, 20);
    run_request(harness, Outcome::completed, 900);
    EXPECT_EQ(harness.count_in_flight(harness.start_requests(8)), 8);
}

TEST(AdmissionController, KeepsItsLimitAfterTheFirstResponsesOfAProcess) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(8));
    harness.complete_in_flight(harness.start_requests(3), 700);
    EXPECT_EQ(harness.count_in_flight(harness.start_requests(40)), 40);
}

TEST(AdmissionController, AdmitsTheClassOfHighestWeightInACrowd) {
    const RequestClass cheap = make_class(Idempotency::always);
    RequestClass valuable = make_class(Idempotency::never);
    valuable.priority_weight = 8;
    PolicyHarness harness(make_settings({cheap, valuable}));
    harness.deliver_list(ListKind::full, make_servers(10));
    overload(harness);
    EXPECT_FALSE(harness.is_in_flight(harness.start_requests(200, 2000).back()));
    EXPECT_TRUE(harness.is_in_flight(harness.start_request(1, 2000)));
}

TEST(AdmissionController, LeavesCapacityToFirstAttemptsWhereClientsRetry) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(10));
    overload(harness);
    const int retries = harness.count_in_flight(harness.start_requests(100, 2000, true));
    const int first_attempts = harness.count_in_flight(harness.start_requests(100, 2000));
    EXPECT_GT(retries, 0);
    EXPECT_GT(first_attempts, 0);
}

TEST(AdmissionController, RejectsUnsentWhatCannotBeAnsweredInTime) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    for (int i = 0; i < 20; ++i) run_request(harness, Outcome::completed, 100);
    const RequestId too_late = harness.start_request(0, 60);
    const RequestId in_time = harness.start_request(0, 300);
    EXPECT_EQ(harness.attempts_of(too_late), 0U);
    EXPECT_TRUE(harness.was_rejected(too_late));
    EXPECT_TRUE(harness.is_in_flight(in_time));
}

TEST(AdmissionController, SendsWaitingRequestsNewestFirst) {
    PolicyHarness harness(make_settings());
    const RequestId older = harness.start_request(0, 1000);
    harness.now += 5;
    const RequestId newer = harness.start_request(0, 1000);
    harness.deliver_list(ListKind::full, make_servers(1));
    std::vector<RequestId> order;
    for (const Action& action : harness.last_actions)
        if (const auto* send = std::get_if<SendAttempt>(&action)) order.push_back(send->id);
    EXPECT_EQ(order, (std::vector<RequestId>{newer, older}));
}

TEST(AdmissionController, KeepsALeastLimitThatTheFleetShares) {
    for (const std::uint32_t sidecars : {3U, 40U}) {
        PolicyHarness harness = harness_in_fleet(sidecars, 20);
        for (int i = 0; i < 3; ++i) overload(harness, sidecars == 3 ? 100 : 10);
        const int in_flight = harness.count_in_flight(harness.start_requests(200, 2000));
        if (sidecars == 3) {
            EXPECT_GE(in_flight, 12) << "its part of the least limit";
        } else {
            EXPECT_LE(in_flight, 4);
        }
    }
}

// A sidecar of a large fleet has nothing in flight when a request arrives, so that it is never full.
TEST(AdmissionController, SendsLessInACrowdThoughNothingIsInFlight) {
    PolicyHarness harness = harness_in_fleet(1000, 30);
    const auto count_sent = [&](Millis latency) {
        int count = 0;
        for (int i = 0; i < 60; ++i) {
            const RequestId id = harness.start_request(0, 2000);
            count += harness.is_in_flight(id);
            if (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::completed, latency);
            harness.advance(1000 - latency);
        }
        return count;
    };
    EXPECT_EQ(count_sent(60), 60);
    EXPECT_LT(count_sent(700), 30);
    EXPECT_GT(count_sent(60), 40) << "and comes back";
}

TEST(AdmissionController, KeepsAPartOfABusySidecarsDemand) {
    PolicyHarness harness = harness_in_fleet(1000, 30);
    std::vector<RequestId> ids;
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {  // 100 a second, answered 700 ms later
        ids.push_back(harness.start_request(0, 2000));
        if (i >= 70 && harness.is_in_flight(ids[i - 70]))
            harness.end_attempt(ids[i - 70], Outcome::completed, 0);
        harness.advance(10);
    }
    for (int i = 500; i < 1000; ++i) sent += harness.attempts_of(ids[i]) > 0;
    EXPECT_GT(sent, 15);
    EXPECT_LT(sent, 250) << "but far from all";
}

TEST(AdmissionController, ForgetsACrowdByTimeWhereResponsesAreRare) {
    PolicyHarness harness = harness_in_fleet(40, 10);
    for (int i = 0; i < 20; ++i) harness.complete_in_flight(harness.start_requests(4, 2000), 230);
    for (int i = 0; i < 4; ++i) harness.complete_in_flight(harness.start_requests(4, 2000), 700);
    harness.advance(60000);
    int sent = 0;
    for (int i = 0; i < 12; ++i) {
        const std::vector<RequestId> ids = harness.start_requests(4, 2000);
        sent += harness.count_in_flight(ids);
        harness.complete_in_flight(ids, 60);
        harness.advance(5000);
    }
    EXPECT_GT(sent, 30);
}

// In a lull few attempts are in flight: one late response does not take the limit down to those.
TEST(AdmissionController, KeepsItsLimitInALull) {
    PolicyHarness harness = harness_in_fleet(40, 10);
    for (int round = 0; round < 40; ++round)
        harness.complete_in_flight(harness.start_requests(10, 2000), 192);
    for (int i = 0; i < 2; ++i) harness.end_attempt(harness.start_request(0, 2000), Outcome::completed, 390);
    EXPECT_GE(harness.count_in_flight(harness.start_requests(10, 2000)), 5);
}

// Of latencies that vary, ten in a row often lie above the target though their mean lies below it.
TEST(AdmissionController, KeepsItsLimitWhereLatenciesVaryAroundAGoodMean) {
    const RequestClass cheap = make_class(Idempotency::always);
    RequestClass valuable = make_class(Idempotency::never);
    valuable.priority_weight = 3;
    EXPECT_LT(count_rejected_without_overload(make_settings({cheap, valuable}), kNoTenant, 350), 50);
}

// A mean of few responses lies above the target by chance for seconds on end.
TEST(AdmissionController, KeepsItsLimitWhereFewResponsesScatter) {
    Settings settings = make_settings();
    settings.fleet_size = 100;
    EXPECT_LT(count_rejected_without_overload(settings, kNoTenant, 430, 40), 30);
}

// What all sidecars sent to three zones, one cannot take; each would learn it from responses too late.
TEST(AdmissionController, ReducesItsLimitAtOnceWithLostZones) {
    PolicyHarness harness = harness_in_fleet(100, 60);
    for (int i = 0; i < 100; ++i) {
        harness.complete_in_flight(harness.start_requests(60, 5000), 150);
    }
    for (const RequestId id : harness.start_requests(60, 5000))
        while (harness.is_in_flight(id)) {
            const bool is_lost = harness.server_of(id) % 3 != 0;
            harness.end_attempt(id, is_lost ? Outcome::connect_failed : Outcome::completed, 1);
        }
    // One zone after the other was found lost.
    EXPECT_LE(harness.count_in_flight(harness.start_requests(100, 5000)), 45);
}

// A release that drains servers a few at a time leaves the limit to the latencies; one that drains all of a
// small fleet's does not.
TEST(AdmissionController, KeepsItsLimitWhileServersDrain) {
    PolicyHarness harness = harness_in_fleet(2, 12);
    for (int i = 0; i < 100; ++i) harness.complete_in_flight(harness.start_requests(20, 5000), 100);
    for (ServerId server = 1; server <= 6; ++server) {
        std::vector<EndpointInfo> gone = {make_servers(server).back()};
        gone[0].state = EndpointState::draining;
        harness.deliver_list(ListKind::incremental, gone);
        harness.now += 150;
        const std::vector<RequestId> ids = harness.start_requests(20, 5000);
        EXPECT_EQ(harness.count_in_flight(ids), 20) << server;
        harness.complete_in_flight(ids, 100);
    }
    std::vector<EndpointInfo> gone = make_servers(10);
    gone.erase(gone.begin(), gone.begin() + 6);
    for (EndpointInfo& server : gone) server.state = EndpointState::draining;
    harness.deliver_list(ListKind::incremental, gone);
    harness.now += 150;
    EXPECT_LT(harness.count_in_flight(harness.start_requests(20, 5000)), 18);
}

}  // namespace
}  // namespace mothring::test
