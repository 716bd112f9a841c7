/// @file
/// The platform's rules, each by what would tempt the policy to break it.
#include <utility>

#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

PolicyHarness harness_of_three_servers(RequestClass request_class) {
    PolicyHarness harness(make_settings({std::move(request_class)}));
    harness.deliver_list(ListKind::full, make_servers(3));
    return harness;
}

TEST(AttemptRules, AnswerAWaitingRequestInTime) {
    PolicyHarness harness(make_settings({make_class(Idempotency::never)}));
    const RequestId id = harness.start_request(0, 50);
    EXPECT_EQ(harness.answers_of(id), 0);
    harness.expect_all_answered();
    EXPECT_EQ(harness.answers_of(id), 1);
    EXPECT_TRUE(harness.was_rejected(id)) << "it never went out, so trying again is harmless";
}

TEST(AttemptRules, NeitherResendNorRejectANonIdempotentRequestThatMayHaveRun) {
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

TEST(AttemptRules, ResendAnIdempotentRequestAfterAnything) {
    for (const Outcome outcome : {Outcome::failed, Outcome::connection_lost, Outcome::overloaded}) {
        PolicyHarness harness = harness_of_three_servers(make_class(Idempotency::always));
        const RequestId id = harness.start_request();
        harness.end_attempt(id, outcome);
        EXPECT_EQ(harness.attempts_of(id), 2U);
    }
}

TEST(AttemptRules, KeepAKeyedRequestInItsDedupZoneAndWindow) {
    PolicyHarness harness(make_settings({make_class(Idempotency::with_key, DedupScope::zone, 300)}));
    harness.deliver_list(ListKind::full, make_servers(9));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = harness.start_request();
        const ServerId first = harness.server_of(id);
        harness.end_attempt(id, i % 2 ? Outcome::failed : Outcome::connection_lost, i % 3 ? 10 : 400);
        if (i % 3) {
            EXPECT_EQ(harness.server_of(id) % 3, first % 3);
        } else {
            EXPECT_EQ(harness.attempts_of(id), 1U) << "the window has passed";
        }
        while (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::completed, 1);
    }
}

TEST(AttemptRules, RejectAKeyedRequestThatMayHaveRunOnlyInScopeAll) {
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

TEST(AttemptRules, CountAnOverloadedAttemptAsRunWhereTheSettingsSaySo) {
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

TEST(AttemptRules, ResendElsewhereWhatNeverRan) {
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

}  // namespace
}  // namespace mothring::test
