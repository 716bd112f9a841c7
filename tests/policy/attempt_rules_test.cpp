/// @file
/// Tests of the platform's requirements for attempts and rejections, each in a situation in which the policy
/// could violate it.
#include "attempt_rules.hpp"

#include <cstdint>
#include <utility>

#include "capacity_survey.hpp"
#include "slow_start.hpp"
#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

constexpr Millis kNow = 100000;
constexpr Millis kDedupWindow = 300;

/// Provides AttemptRules without a balancer, with the modules that it depends on and a server.
class AttemptRulesWithoutBalancer : public testing::Test {
protected:
    static Request make_request(Idempotency idempotency, DedupScope scope = DedupScope::all) {
        Request request;
        request.request_class = make_class(idempotency, scope, kDedupWindow);
        request.deadline = kNow + 1000;
        return request;
    }

    // Returns an attempt that has ended and may have run.
    static Attempt possible_run(const EndpointInfo& server = {}) {
        Attempt attempt;
        attempt.server = server;
        attempt.sent_at = kNow;
        attempt.in_flight = false;
        return attempt;
    }

    Settings settings = make_settings();
    EndpointSet endpoints{settings};
    OutlierDetector outliers{settings, endpoints};
    ZoneHealth zones;
    CapacitySurvey survey{endpoints, outliers, zones};
    LatencyModel latencies;
    FleetShare fleet{settings};
    SlowStart slow_start{settings, survey, latencies, fleet};
    AttemptRules rules{settings, slow_start};
    Endpoint server;
};

PolicyHarness harness_of_three_servers(RequestClass request_class) {
    PolicyHarness harness(make_settings({std::move(request_class)}));
    harness.deliver_list(ListKind::full, make_servers(3));
    return harness;
}

TEST(AttemptRules, AnswerAWaitingRequestByItsDeadline) {
    PolicyHarness harness(make_settings({make_class(Idempotency::never)}));
    const RequestId id = harness.start_request(0, 50);
    EXPECT_EQ(harness.answers_of(id), 0);
    harness.expect_all_answered();
    EXPECT_EQ(harness.answers_of(id), 1);
    EXPECT_TRUE(harness.was_rejected(id)) << "the request was never sent, so a retry is harmless";
}

TEST(AttemptRules, NeitherRetryNorRejectANonIdempotentRequestThatMayHaveRun) {
    for (const Outcome outcome : {Outcome::failed, Outcome::timed_out, Outcome::connection_lost}) {
        PolicyHarness harness = harness_of_three_servers(make_class(Idempotency::never));
        const RequestId id = harness.start_request();
        harness.end_attempt(id, outcome);
        EXPECT_EQ(harness.attempts_of(id), 1U);
        EXPECT_EQ(harness.answers_of(id), 1);
        EXPECT_FALSE(harness.was_rejected(id));
    }
}

TEST(AttemptRules, TreatAnUnknownClassAsNonIdempotent) {
    PolicyHarness harness = harness_of_three_servers(make_class(Idempotency::always));
    const RequestId id = harness.start_request(9);
    harness.end_attempt(id, Outcome::failed);
    EXPECT_EQ(harness.attempts_of(id), 1U);
    EXPECT_FALSE(harness.was_rejected(id));
}

TEST(AttemptRules, RetryAnIdempotentRequestAfterAnyFailure) {
    for (const Outcome outcome : {Outcome::failed, Outcome::connection_lost, Outcome::overloaded}) {
        PolicyHarness harness = harness_of_three_servers(make_class(Idempotency::always));
        const RequestId id = harness.start_request();
        harness.end_attempt(id, outcome);
        EXPECT_EQ(harness.attempts_of(id), 2U);
    }
}

TEST(AttemptRules, RetryAKeyedRequestOnlyInItsDedupZoneAndWindow) {
    PolicyHarness harness(make_settings({make_class(Idempotency::with_key, DedupScope::zone, 300)}));
    harness.deliver_list(ListKind::full, make_servers(9));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = harness.start_request();
        const ServerId first = harness.server_of(id);
        harness.end_attempt(id, i % 2 ? Outcome::failed : Outcome::connection_lost, i % 3 ? 10 : 400);
        if (i % 3) {
            EXPECT_EQ(harness.server_of(id) % 3, first % 3);
        } else {
            EXPECT_EQ(harness.attempts_of(id), 1U) << "the deduplication window has ended";
        }
        while (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::completed, 1);
    }
}

TEST(AttemptRules, RejectAKeyedRequestThatMayHaveRunOnlyWithDedupScopeAll) {
    for (const DedupScope scope : {DedupScope::zone, DedupScope::all}) {
        PolicyHarness harness(make_settings({make_class(Idempotency::with_key, scope)}));
        harness.deliver_list(ListKind::full, make_servers(1));
        const RequestId id = harness.start_request(0, 300);
        harness.end_attempt(id, Outcome::failed, 10);
        while (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::failed, 10);
        harness.expect_all_answered();
        EXPECT_EQ(harness.was_rejected(id), scope == DedupScope::all);
    }
}

TEST(AttemptRules, TreatAnOverloadedAttemptAsPossiblyRunIfConfigured) {
    for (const Idempotency idempotency : {Idempotency::never, Idempotency::with_key, Idempotency::always}) {
        Settings settings = make_settings({make_class(idempotency, DedupScope::zone)});
        settings.overloaded_may_have_run = true;
        PolicyHarness harness(settings);
        harness.deliver_list(ListKind::full, make_servers(9));
        const RequestId id = harness.start_request();
        const ServerId first = harness.server_of(id);
        harness.end_attempt(id, Outcome::overloaded);
        EXPECT_EQ(harness.attempts_of(id), idempotency == Idempotency::never ? 1U : 2U);
        if (idempotency == Idempotency::with_key) {
            EXPECT_EQ(harness.server_of(id) % 3, first % 3);
        }
        while (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::overloaded, 1);
        harness.expect_all_answered();
        EXPECT_EQ(harness.was_rejected(id), idempotency == Idempotency::always);
    }
}

TEST(AttemptRules, SendNothingToADrainingServer) {
    PolicyHarness harness = harness_of_three_servers(make_class(Idempotency::always));
    harness.deliver_list(ListKind::incremental, {{1, 0, 0, EndpointState::draining, 0}});
    for (int i = 0; i < 50; ++i) {
        const RequestId id = harness.start_request();
        EXPECT_NE(harness.server_of(id), 1U);
        harness.end_attempt(id, Outcome::completed);
    }
}

TEST(AttemptRules, RetryARequestThatNeverRanAtAnotherServer) {
    for (const Idempotency idempotency : {Idempotency::always, Idempotency::with_key, Idempotency::never}) {
        for (const Outcome outcome : {Outcome::overloaded, Outcome::connect_failed}) {
            PolicyHarness harness(make_settings({make_class(idempotency)}));
            harness.deliver_list(ListKind::full, make_servers(3));
            const RequestId id = harness.start_request();
            const ServerId first = harness.server_of(id);
            harness.end_attempt(id, outcome);
            ASSERT_EQ(harness.attempts_of(id), 2U);
            EXPECT_NE(harness.server_of(id), first);
        }
    }
}

TEST_F(AttemptRulesWithoutBalancer, RetryAKeyedRequestOnlyInItsDedupScopeAndWindow) {
    const EndpointInfo first_server{1, 2, 3, EndpointState::active, 0, 0};
    struct Case {
        DedupScope scope;
        ZoneId zone;
        std::uint32_t cell;
        bool allowed;
    };
    for (const Case& tested : {Case{DedupScope::all, 9, 9, true}, Case{DedupScope::zone, 2, 9, true},
                               Case{DedupScope::zone, 9, 3, false}, Case{DedupScope::cell, 9, 3, true},
                               Case{DedupScope::cell, 2, 9, false}}) {
        Request request = make_request(Idempotency::with_key, tested.scope);
        request.attempts = {possible_run(first_server)};
        server.info.zone = tested.zone;
        server.info.cell = tested.cell;
        EXPECT_EQ(rules.may_send(request, server, kNow + kDedupWindow - 1), tested.allowed);
        EXPECT_FALSE(rules.may_send(request, server, kNow + kDedupWindow));
    }
}

TEST_F(AttemptRulesWithoutBalancer, RejectARequestThatMayHaveRunOnlyIfARepeatIsHarmless) {
    Request request = make_request(Idempotency::never);
    EXPECT_TRUE(rules.may_reject(request, kNow)) << "it has not run";
    request.attempts = {possible_run()};
    EXPECT_FALSE(rules.may_reject(request, kNow));
    request.request_class.idempotency = Idempotency::always;
    EXPECT_TRUE(rules.may_reject(request, kNow));
    request.request_class.idempotency = Idempotency::with_key;
    EXPECT_TRUE(rules.may_reject(request, kNow + kDedupWindow - 1));
    EXPECT_FALSE(rules.may_reject(request, kNow + kDedupWindow));
    request.request_class.dedup_scope = DedupScope::zone;
    EXPECT_FALSE(rules.may_reject(request, kNow));
}

}  // namespace
}  // namespace mothring::test
