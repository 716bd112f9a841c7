/// @file
/// What is done with servers while the list could not be renewed in time: changes that it lacks count as
/// notified, so that each server may be one that leaves, or that was gone and came back.
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

/// From the start of a failed call on, until what it has missed counts as notified.
constexpr Millis kNotificationDelay = 6000;
constexpr Millis kResubscribeWithin = 10000;
constexpr Millis kLatency = 20;
constexpr Millis kBetweenRequests = 50;
/// Requests after which every server has had one.
constexpr int kMostRequests = 1000;
/// The server that fails.
constexpr ServerId kSuspect = 1;

class StaleList : public testing::Test {
protected:
    StaleList() {
        harness.deliver(Started{});
        harness.deliver_list(ListKind::full, make_servers(3));
    }
    /// A call is rejected, as all since `failing_since`.
    void reject_call() {
        harness.timers.clear();
        harness.deliver(EndpointList{ListKind::failed, {}, failing_since + kNotificationDelay - harness.now});
    }
    void begin_failing() {
        failing_since = harness.now;
        reject_call();
    }
    /// Runs one request after another for that long, each completed.
    /// @return how many of them went to the suspect.
    int serve_for(Millis length) {
        int to_suspect = 0;
        const Millis end = harness.now + length;
        while (harness.now < end) {
            const RequestId id = harness.start_request();
            EXPECT_TRUE(harness.is_in_flight(id)) << "not sent";
            to_suspect += harness.server_of(id) == kSuspect;
            harness.end_attempt(id, Outcome::completed, kLatency);
            harness.now += kBetweenRequests;
        }
        return to_suspect;
    }
    /// Ends an attempt at the suspect like that, after another server has responded; the request is served
    /// elsewhere.
    void fail_suspect(Outcome outcome) {
        for (int i = 0; i < kMostRequests; ++i) {
            const RequestId id = harness.start_request();
            if (harness.server_of(id) != kSuspect) {
                harness.end_attempt(id, Outcome::completed, kLatency);
                continue;
            }
            RequestId other = harness.start_request();
            while (harness.server_of(other) == kSuspect) {
                harness.end_attempt(other, Outcome::completed, kLatency);
                other = harness.start_request();
            }
            harness.end_attempt(other, Outcome::completed, kLatency);
            harness.end_attempt(id, outcome, kLatency);
            if (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::completed, kLatency);
            return;
        }
        FAIL() << "the suspect got no request";
    }

    PolicyHarness harness{subscribing_settings(kResubscribeWithin)};
    Millis failing_since = 0;
};

TEST_F(StaleList, SendsNothingToAServerThatHasFailedSince) {
    serve_for(10000);  // its window is full: one failure neither ejects it nor keeps a class away
    begin_failing();
    serve_for(1000);
    fail_suspect(Outcome::connection_lost);
    EXPECT_GT(serve_for(failing_since + kNotificationDelay - harness.now - 100), 0)
        << "until then its responses count";
    harness.now = failing_since + kNotificationDelay;
    reject_call();
    EXPECT_EQ(serve_for(3000), 0);
    harness.deliver_list(ListKind::incremental, {});
    EXPECT_GT(serve_for(3000), 0) << "listed, as is known now";
}

// Ejected as its connections failed, and due for its trial past the delay: it answers, but may be one that
// was gone and has come back, of which no list has told.
TEST_F(StaleList, TriesNoEjectedServer) {
    begin_failing();
    serve_for(1000);
    fail_suspect(Outcome::connect_failed);
    ASSERT_EQ(harness.ejections, 1);
    EXPECT_EQ(serve_for(kNotificationDelay), 0);
    reject_call();
    EXPECT_EQ(serve_for(20000), 0) << "its ejection time was over";
    harness.deliver_list(ListKind::incremental, {});
    EXPECT_GT(serve_for(3000), 0);
}

TEST_F(StaleList, SendsNothingToARestoredServerThatFailsAgain) {
    begin_failing();
    fail_suspect(Outcome::connect_failed);
    // The calls before could not be sent, so that the notification delay begins late.
    serve_for(10500);
    failing_since = harness.now - 3000;
    reject_call();
    EXPECT_GT(serve_for(2000), 0) << "restored by a trial within the delay";
    harness.now = failing_since + kNotificationDelay;
    reject_call();
    EXPECT_GT(serve_for(2000), 0) << "it failed before the list was last true";
    fail_suspect(Outcome::connection_lost);
    EXPECT_EQ(serve_for(3000), 0);
}

TEST_F(StaleList, PrefersServersThatHaveResponded) {
    serve_for(1000);
    begin_failing();
    // A fourth one that the last list has brought, and that no request has met.
    std::vector<EndpointInfo> all = make_servers(4);
    harness.deliver_list(ListKind::incremental, {all[3]});
    begin_failing();
    harness.now = failing_since + kNotificationDelay - 100;
    reject_call();
    const RequestId id = harness.start_request();
    const ServerId met = harness.server_of(id);
    harness.end_attempt(id, Outcome::completed, kLatency);
    harness.now = failing_since + kNotificationDelay + 100;
    reject_call();
    for (int i = 0; i < 50; ++i) {
        const RequestId next = harness.start_request();
        EXPECT_EQ(harness.server_of(next), met) << "the only one known to take new work";
        harness.end_attempt(next, Outcome::completed, kLatency);
        harness.now += kBetweenRequests;
    }
}

TEST_F(StaleList, ServesWhereNoServerIsKnownToBePresent) {
    begin_failing();
    harness.now = failing_since + kNotificationDelay + 10000;
    reject_call();
    serve_for(1000);
    for (int i = 0; i < 3; ++i) {
        const RequestId id = harness.start_request();
        harness.end_attempt(id, Outcome::overloaded, kLatency);
        EXPECT_TRUE(harness.is_in_flight(id)) << "another server is tried";
        harness.end_attempt(id, Outcome::completed, kLatency);
    }
    serve_for(1000);
}

// Only the suspect is left on the list, and it is ejected: its trial is better than serving no one.
TEST_F(StaleList, TriesEjectedServersWhereNoOthersAreListed) {
    fail_suspect(Outcome::connect_failed);
    ASSERT_EQ(harness.ejections, 1);
    harness.deliver_list(ListKind::full, make_servers(1));
    begin_failing();
    harness.now = failing_since + kNotificationDelay + 10000;
    reject_call();
    EXPECT_GT(serve_for(1000), 0);
}

}  // namespace
}  // namespace mothring::test
