/// @file
/// Tests of admission control: how many attempts may be in flight, and which requests wait or are rejected.
#include <cstdint>
#include <variant>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

TEST(AdmissionController, LimitsAttemptsInFlightInOverloadAndRejectsTheRest) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    harness.complete_in_flight(harness.start_requests(200), 700);  // nearly twice the latency objective
    const std::vector<RequestId> ids = harness.start_requests(200);
    const int in_flight = harness.count_in_flight(ids);
    int rejected = 0;
    EXPECT_LT(in_flight, 150);
    EXPECT_GE(in_flight, 4) << "the limit never falls below one attempt per active server";
    harness.advance(300);
    for (const RequestId id : ids) rejected += harness.was_rejected(id);
    EXPECT_GE(rejected, 200 - in_flight) << "requests over the limit wait briefly and are then rejected";
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

TEST(AdmissionController, AdmitsTheClassOfHighestWeightInOverload) {
    const RequestClass cheap = make_class(Idempotency::always);
    RequestClass valuable = make_class(Idempotency::never);
    valuable.priority_weight = 8;
    PolicyHarness harness(make_settings({cheap, valuable}));
    harness.deliver_list(ListKind::full, make_servers(10));
    overload(harness);
    EXPECT_FALSE(harness.is_in_flight(harness.start_requests(200, 2000).back()));
    EXPECT_TRUE(harness.is_in_flight(harness.start_request(1, 2000)));
}

TEST(AdmissionController, ReservesCapacityForFirstAttemptsIfClientsRetry) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(10));
    overload(harness);
    const int retries = harness.count_in_flight(harness.start_requests(100, 2000, true));
    const int first_attempts = harness.count_in_flight(harness.start_requests(100, 2000));
    EXPECT_GT(retries, 0);
    EXPECT_GT(first_attempts, 0);
}

TEST(AdmissionController, RejectsARequestUnsentIfItsDeadlineCannotBeMet) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    for (int i = 0; i < 20; ++i) run_request(harness, Outcome::completed, 100);
    const RequestId too_late = harness.start_request(0, 60);
    const RequestId in_time = harness.start_request(0, 300);
    EXPECT_EQ(harness.attempts_of(too_late), 0U);
    EXPECT_TRUE(harness.was_rejected(too_late));
    EXPECT_TRUE(harness.is_in_flight(in_time));
}

// Guards against a class that is rejected for good after one slow response: the first of a process, or the
// first after a long quiet time.
TEST(AdmissionController, OneSlowResponseDoesNotMakeRequestsHopeless) {
    constexpr Millis kTimeLeft = 2500, kSlow = 2100, kFast = 260, kQuietTime = 90000;
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(8));
    for (int round = 0; round < 2; ++round) {
        harness.end_attempt(harness.start_request(0, kTimeLeft), Outcome::completed, kSlow);
        for (int i = 0; i < 20; ++i) {
            const RequestId id = harness.start_request(0, kTimeLeft);
            ASSERT_TRUE(harness.is_in_flight(id)) << "request " << i << " of round " << round;
            harness.end_attempt(id, Outcome::completed, kFast);
        }
        harness.advance(kQuietTime);
    }
}

// Guards against a class that is rejected for good after many slow responses: without attempts, the balancer
// would never see that the servers are fast again.
TEST(AdmissionController, TriesHopelessRequestsAtIntervals) {
    constexpr Millis kTimeLeft = 2500, kShortTimeLeft = 1000, kSlow = 2100, kFast = 260, kInterval = 200;
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(8));
    for (int i = 0; i < 20; ++i)
        harness.end_attempt(harness.start_request(0, kTimeLeft), Outcome::completed, kSlow);
    const RequestId trial = harness.start_request(0, kShortTimeLeft);
    EXPECT_TRUE(harness.is_in_flight(trial)) << "the last attempt was sent 2.1 s ago";
    EXPECT_TRUE(harness.was_rejected(harness.start_request(0, kShortTimeLeft)));
    harness.end_attempt(trial, Outcome::completed, kFast);
    const auto count_sent = [&](int requests) {
        int sent = 0;
        for (int i = 0; i < requests; ++i) {
            const RequestId id = harness.start_request(0, kShortTimeLeft);
            sent += harness.is_in_flight(id) ? 1 : 0;
            if (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::completed, kFast);
            harness.advance(kInterval);
        }
        return sent;
    };
    EXPECT_GE(count_sent(20), 2) << "within 4 s";
    count_sent(130);
    EXPECT_EQ(count_sent(20), 20) << "half a minute after the servers have recovered";
    EXPECT_GT(harness.balancer.gauges().hopeless, 0U);
}

// Guards against responses of silent servers that use up the limit, so that requests for other servers are
// rejected.
TEST(AdmissionController, StalledResponsesDoNotUseTheLimit) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    overload(harness);
    constexpr Millis kLongTimeLeft = 60000;
    const std::vector<RequestId> stalled = harness.start_requests(200, kLongTimeLeft);
    const int limit = harness.count_in_flight(stalled);
    ASSERT_GT(limit, 0);
    ASSERT_LT(limit, 200);
    harness.advance(100);  // the requests over the limit are rejected
    ASSERT_EQ(harness.count_in_flight(harness.start_requests(1, kLongTimeLeft)), 0);
    harness.advance(100);
    for (int repeat = 0; repeat < 2; ++repeat) {
        for (const RequestId id : stalled) {
            harness.deliver(ResponseStarted{id, 0});
            harness.deliver(ResponseStalled{id, 0});
        }
    }
    const int in_flight = harness.count_in_flight(harness.start_requests(200, kLongTimeLeft));
    EXPECT_GT(in_flight, 0);
    EXPECT_LE(in_flight, limit) << "no stalled response counts twice";
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

TEST(AdmissionController, KeepsAMinimumLimitSharedByTheFleet) {
    for (const std::uint32_t sidecars : {3U, 40U}) {
        PolicyHarness harness = harness_in_fleet(sidecars, 20);
        for (int i = 0; i < 3; ++i) overload(harness, sidecars == 3 ? 100 : 10);
        const int in_flight = harness.count_in_flight(harness.start_requests(200, 2000));
        if (sidecars == 3) {
            EXPECT_GE(in_flight, 12) << "the sidecar's share of the minimum limit";
        } else {
            EXPECT_LE(in_flight, 4);
        }
    }
}

// Guards against a limit that never applies in a large fleet: a sidecar there has no attempts in flight when
// a request arrives, so its limit is never reached.
TEST(AdmissionController, SendsLessInOverloadAlthoughNothingIsInFlight) {
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
    EXPECT_GT(count_sent(60), 40) << "the sidecar recovers after the overload";
}

TEST(AdmissionController, AlwaysAdmitsAShareOfABusySidecarsDemand) {
    PolicyHarness harness = harness_in_fleet(1000, 30);
    std::vector<RequestId> ids;
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {  // 100 requests per second, each completed after 700 ms
        ids.push_back(harness.start_request(0, 2000));
        if (i >= 70 && harness.is_in_flight(ids[i - 70]))
            harness.end_attempt(ids[i - 70], Outcome::completed, 0);
        harness.advance(10);
    }
    for (int i = 500; i < 1000; ++i) sent += harness.attempts_of(ids[i]) > 0;
    EXPECT_GT(sent, 15);
    EXPECT_LT(sent, 250) << "most requests must still be rejected";
}

TEST(AdmissionController, ForgetsAnOverloadOverTimeIfResponsesAreRare) {
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

// Guards against a limit that one late response lowers to the few attempts in flight during low traffic.
TEST(AdmissionController, KeepsItsLimitDuringLowTraffic) {
    PolicyHarness harness = harness_in_fleet(40, 10);
    for (int round = 0; round < 40; ++round)
        harness.complete_in_flight(harness.start_requests(10, 2000), 192);
    for (int i = 0; i < 2; ++i) harness.end_attempt(harness.start_request(0, 2000), Outcome::completed, 390);
    EXPECT_GE(harness.count_in_flight(harness.start_requests(10, 2000)), 5);
}

// Guards against lowering the limit on random variation: ten latencies in a row often lie above the target
// although their long-term mean lies below it.
TEST(AdmissionController, KeepsItsLimitIfLatenciesVaryAroundAMeanBelowTheTarget) {
    const RequestClass cheap = make_class(Idempotency::always);
    RequestClass valuable = make_class(Idempotency::never);
    valuable.priority_weight = 3;
    EXPECT_LT(count_rejected_without_overload(make_settings({cheap, valuable}), kNoTenant, 350), 50);
}

// Guards against lowering the limit on few samples: a mean of few responses may lie above the target by
// chance for several seconds.
TEST(AdmissionController, KeepsItsLimitIfFewResponsesVary) {
    Settings settings = make_settings();
    settings.fleet_size = 100;
    EXPECT_LT(count_rejected_without_overload(settings, kNoTenant, 430, 40), 30);
}

// Guards against overloading the remaining zone after a loss: it cannot take the requests of three zones, and
// late responses would lower each sidecar's limit too late.
TEST(AdmissionController, LowersItsLimitAtOnceWhenZonesAreLost) {
    PolicyHarness harness = harness_in_fleet(100, 60);
    for (int i = 0; i < 100; ++i) {
        harness.complete_in_flight(harness.start_requests(60, 5000), 150);
    }
    for (const RequestId id : harness.start_requests(60, 5000))
        while (harness.is_in_flight(id)) {
            const bool is_lost = harness.server_of(id) % 3 != 0;
            harness.end_attempt(id, is_lost ? Outcome::connect_failed : Outcome::completed, 1);
        }
    // The two lost zones are detected one after the other.
    EXPECT_LE(harness.count_in_flight(harness.start_requests(100, 5000)), 45);
}

// A release that drains a few servers at a time must leave the limit to the latencies. Draining most servers
// of a small fleet at once must lower the limit.
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
