/// @file
/// Tests of outlier detection: which servers are ejected, avoided by a class, tried again and restored.
#include <cstdint>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

using SlowServers = bool (*)(ServerId server);

// Starts `count` requests at once, so that each server gets its share. Slow servers complete their requests
// after `late`; the others complete theirs one by one, 5 ms apart.
void burst_with_slow_servers(PolicyHarness& harness, int count, SlowServers is_slow, Millis late) {
    const std::vector<RequestId> ids = harness.start_requests(count, 5000);
    for (const RequestId id : ids)
        if (harness.is_in_flight(id) && !is_slow(harness.server_of(id)))
            harness.end_attempt(id, Outcome::completed, 5);
    harness.complete_in_flight(ids, late);
}

// Returns a harness with three servers, of which server 2 was ejected and its ejection time has passed.
PolicyHarness harness_with_trial_due() {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(3));
    drive_traffic(harness, 60, 2, Outcome::failed);
    harness.now += 10500;
    return harness;
}

TEST(OutlierDetector, EjectsAFailingServerIfOthersSucceed) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    drive_traffic(harness, 60, 2, Outcome::failed);
    EXPECT_EQ(count_sent_to(harness, 100, 2), 0);
}

// Of the twenty outcomes in a window, two failures keep the success rate at the threshold, and three lower it
// below.
TEST(OutlierDetector, EjectsAServerBelowTheSuccessThreshold) {
    for (const int failures : {2, 3}) {
        PolicyHarness harness(non_idempotent_settings());
        harness.deliver_list(ListKind::full, make_servers(2));
        EXPECT_EQ(drive_traffic(harness, 60, 2, Outcome::failed, failures), failures);
        EXPECT_EQ(count_sent_concurrently_to(harness, 60, 2) == 0, failures == 3) << failures;
    }
}

TEST(OutlierDetector, ForgetsFailuresAfterTwentyOutcomes) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    // Three rounds of two failures followed by more than twenty successes.
    for (int round = 0; round < 3; ++round) {
        EXPECT_EQ(drive_traffic(harness, 60, 2, Outcome::failed, 2), 2);
        EXPECT_GT(count_sent_concurrently_to(harness, 150, 2), 20) << round;
    }
}

TEST(OutlierDetector, EjectsNoServerForInvalidRequests) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(6));
    drive_traffic(harness, 240, 0, Outcome::completed);
    for (int i = 0; i < 200; ++i) run_request(harness, i % 2 ? Outcome::invalid_request : Outcome::completed);
    EXPECT_EQ(harness.ejections, 0);
}

TEST(OutlierDetector, EjectsNoServerForCancelledOrUnsentAttempts) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    for (int i = 0; i < 60; ++i) {
        const RequestId id = harness.start_request();
        harness.disconnect_client(id);
        harness.end_attempt(id, i % 2 ? Outcome::cancelled : Outcome::not_sent, 10);
    }
    EXPECT_GT(count_sent_to(harness, 100, 1), 20);
    EXPECT_GT(count_sent_to(harness, 100, 2), 20);
}

// A response that completes after the latency objective counts as a failure.
TEST(OutlierDetector, EjectsAServerWhoseResponsesAreLate) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(6));
    for (int round = 0; round < 20; ++round) {
        burst_with_slow_servers(
            harness, 12, [](ServerId server) { return server == 4; }, 600);
        harness.advance(0);
    }
    EXPECT_GE(harness.ejections, 1);
}

// Guards against ejecting a server for all classes when only one class fails there. Class 0 fails at server
// 1, and class 1 is served there.
TEST(OutlierDetector, AvoidsAServerOnlyForTheFailingClass) {
    PolicyHarness harness(make_settings({make_class(Idempotency::never), make_class(Idempotency::never)}));
    harness.deliver_list(ListKind::full, make_servers(3));
    int failed = 0;
    int served_there = 0;
    for (int i = 0; i < 120; ++i) {
        const std::uint32_t class_index = i % 2;
        const RequestId id = harness.start_request(class_index);
        const bool fails = class_index == 0 && harness.server_of(id) == 1;
        failed += fails;
        served_there += class_index == 1 && harness.server_of(id) == 1;
        harness.end_attempt(id, fails ? Outcome::failed : Outcome::completed, 60);
    }
    EXPECT_EQ(failed, 1) << "the 7.2 s of the test are less than the time for which a class avoids a server";
    EXPECT_GT(served_there, 10);
    EXPECT_EQ(harness.ejections, 0);
    harness.advance(11000);
    for (int i = 0; i < 60; ++i) {
        const RequestId id = harness.start_request(0);
        served_there = harness.server_of(id) == 1 ? 1000 : served_there;
        harness.end_attempt(id, Outcome::completed, 60);
    }
    EXPECT_GE(served_there, 1000) << "the class uses the server again after that time";
}

TEST(OutlierDetector, UsesTheOnlyServerAlthoughItFails) {
    PolicyHarness harness(make_settings({make_class(Idempotency::never)}));
    harness.deliver_list(ListKind::full, make_servers(1));
    for (int i = 0; i < 5; ++i) {
        const RequestId id = harness.start_request();
        EXPECT_EQ(harness.attempts_of(id), 1U);
        harness.end_attempt(id, Outcome::failed);
    }
}

// A failed trial starts another ejection. A successful trial restores the server with an empty window.
TEST(OutlierDetector, RestoresAServerByOneSuccessfulTrial) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(3));
    drive_traffic(harness, 60, 2, Outcome::failed);
    harness.now += 9000;
    EXPECT_EQ(count_sent_to(harness, 20, 2), 0) << "still ejected";
    harness.now += 1500;
    const RequestId trial = harness.start_request();
    ASSERT_EQ(harness.server_of(trial), 2U) << "a client's request is used as the trial";
    EXPECT_EQ(count_sent_to(harness, 20, 2), 0) << "only one request is sent as a trial";
    harness.end_attempt(trial, Outcome::failed);
    EXPECT_EQ(count_sent_to(harness, 20, 2), 0);
    harness.now += 10000;
    const RequestId again = harness.start_request();
    ASSERT_EQ(harness.server_of(again), 2U);
    harness.end_attempt(again, Outcome::completed, 5);  // quick, so that the server wins ties
    EXPECT_GT(count_sent_to(harness, 60, 2), 5);
    drive_traffic(harness, 3, 2, Outcome::failed);  // earlier failures must not count any more
    use_many_servers(harness, 6);
    EXPECT_GT(count_sent_to(harness, 60, 2), 0);
}

TEST(OutlierDetector, RepeatsATrialThatWasCancelled) {
    PolicyHarness harness = harness_with_trial_due();
    const RequestId trial = harness.start_request();
    ASSERT_EQ(harness.server_of(trial), 2U);
    harness.disconnect_client(trial);
    harness.end_attempt(trial, Outcome::cancelled);
    EXPECT_EQ(harness.server_of(harness.start_request()), 2U);
}

TEST(OutlierDetector, SendsNothingToAServerThatStartsDrainingDuringItsTrial) {
    PolicyHarness harness = harness_with_trial_due();
    const RequestId trial = harness.start_request();
    ASSERT_EQ(harness.server_of(trial), 2U);
    harness.deliver_list(ListKind::incremental, {{2, 0, 0, EndpointState::draining, 0}});
    harness.end_attempt(trial, Outcome::completed);
    EXPECT_EQ(count_sent_to(harness, 60, 2), 0);
}

TEST(OutlierDetector, EjectsAtMostHalfOfThePool) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    for (ServerId faulty = 1; faulty <= 3; ++faulty) drive_traffic(harness, 60, faulty, Outcome::failed);
    EXPECT_EQ(harness.ejections, 2);
}

TEST(OutlierDetector, EjectsAtMostHalfOfTheServersOfAClass) {
    Settings settings = non_idempotent_settings();
    settings.classes[0].zones = {{1}};
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(12));  // four of them in zone 1
    for (const ServerId faulty : {1U, 4U, 7U}) drive_traffic(harness, 60, faulty, Outcome::failed);
    EXPECT_EQ(harness.ejections, 2);
}

TEST(OutlierDetector, EjectsNoServerOnAResponseInTime) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    for (int i = 0; i < 120; ++i) {
        const RequestId id = harness.start_request(0, 3000);
        harness.end_attempt(id, Outcome::completed, harness.server_of(id) == 1 ? 590 : 450);
    }
    ASSERT_EQ(harness.ejections, 0);
    for (int i = 0; i < 200; ++i)
        harness.end_attempt(harness.start_request(0, 3000), Outcome::completed, 300);
    EXPECT_EQ(harness.ejections, 0);
}

// Guards against waiting for a full window before a server that no longer responds is ejected.
TEST(OutlierDetector, EjectsASilentServerAfterOneAttempt) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(6));
    use_many_servers(harness, 12);
    int lost = 0;
    for (int i = 0; i < 300; ++i) {
        const RequestId id = harness.start_request();
        const bool is_silent = harness.server_of(id) == 3;
        lost += is_silent;
        harness.end_attempt(id, is_silent ? Outcome::timed_out : Outcome::completed, is_silent ? 1000 : 10);
    }
    EXPECT_EQ(lost, 1);
}

TEST(OutlierDetector, EjectsFewServersWhileMostAttemptsTimeOut) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(8));
    for (int i = 0; i < 60; ++i) run_request(harness, Outcome::timed_out, 1000);
    EXPECT_LE(harness.ejections, 3)
        << "servers are ejected only until the success rate of the others has dropped";
}

// In a large fleet no sidecar fills a window alone, so one failed connection must be enough if other servers
// respond.
TEST(OutlierDetector, EjectsForAllClassesAfterOneFailedConnectionIfOthersRespond) {
    for (const bool others_respond : {true, false}) {
        Settings settings = make_settings({make_class(Idempotency::always), make_class(Idempotency::always)});
        settings.fleet_size = 100;
        PolicyHarness harness(settings);
        harness.deliver_list(ListKind::full, make_servers(20));
        const RequestId first = harness.start_request(0);
        const RequestId second = harness.start_request(0);
        const ServerId unreachable = harness.server_of(first);
        ASSERT_NE(unreachable, harness.server_of(second));
        if (others_respond) harness.end_attempt(second, Outcome::completed);
        harness.end_attempt(first, Outcome::connect_failed);
        EXPECT_EQ(harness.ejections, others_respond ? 1 : 0);
        if (!others_respond) continue;
        for (int i = 0; i < 200; ++i) EXPECT_NE(run_request(harness, Outcome::completed, 10, 1), unreachable);
    }
}

// An attempt that is not sent, for lack of a free connection in the sidecar, says nothing about the server.
TEST(OutlierDetector, EjectsNoServerForAttemptsWithoutAFreeConnection) {
    PolicyHarness harness = harness_in_fleet(100, 20);
    for (int i = 0; i < 40; ++i) {
        const RequestId other = harness.start_request();
        const RequestId id = harness.start_request();
        harness.end_attempt(other, Outcome::completed);
        if (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::not_sent);
        if (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::completed);
    }
    EXPECT_EQ(harness.ejections, 0);
}

TEST(OutlierDetector, EjectsASilentServerIfOthersRespond) {
    PolicyHarness harness = harness_in_fleet(100, 20);
    const RequestId first = harness.start_request(0, 400);
    for (int i = 0; i < 6; ++i) run_request(harness, Outcome::completed, 50);
    EXPECT_EQ(harness.ejections, 0);
    harness.advance(200);
    EXPECT_EQ(harness.ejections, 1) << harness.server_of(first);
}

}  // namespace
}  // namespace mothring::test
