/// @file
/// The choice of servers while the endpoint list is stale. Calls to discovery have failed for longer than the
/// notification delay, so changes that the list lacks count as notified: each listed server may be draining,
/// or may have been removed and replaced by a new process.
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

/// The time from the first failed call until the changes that it has missed count as notified.
constexpr Millis kNotificationDelay = 6000;
constexpr Millis kResubscribeWithin = 10000;
constexpr Millis kLatency = 20;
constexpr Millis kRequestGap = 50;
/// More requests than it takes until every server has received one.
constexpr int kMaxRequests = 1000;
/// The server that fails.
constexpr ServerId kSuspect = 1;

class StaleList : public testing::Test {
protected:
    StaleList() {
        harness.deliver(Started{});
        harness.deliver_list(ListKind::full, make_servers(3));
    }
    /// Delivers the rejection of a call to discovery. All calls since `failing_since` have been rejected.
    void reject_call() {
        harness.timers.clear();
        harness.deliver(EndpointList{ListKind::failed, {}, failing_since + kNotificationDelay - harness.now});
    }
    void begin_failing() {
        failing_since = harness.now;
        reject_call();
    }
    /// Runs one request after another for `duration`. Every attempt completes.
    /// @return the number of requests that were sent to the suspect.
    int serve_for(Millis duration) {
        int to_suspect = 0;
        const Millis end = harness.now + duration;
        while (harness.now < end) {
            const RequestId id = harness.start_request();
            EXPECT_TRUE(harness.is_in_flight(id)) << "no attempt was sent";
            to_suspect += harness.server_of(id) == kSuspect;
            harness.end_attempt(id, Outcome::completed, kLatency);
            harness.now += kRequestGap;
        }
        return to_suspect;
    }
    /// Ends an attempt at the suspect with `outcome` after another server has responded. The request is then
    /// completed by another server.
    void fail_suspect(Outcome outcome) {
        for (int i = 0; i < kMaxRequests; ++i) {
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
        FAIL() << "no request was sent to the suspect";
    }

    PolicyHarness harness{subscribing_settings(kResubscribeWithin)};
    Millis failing_since = 0;
};

TEST_F(StaleList, AvoidsAServerThatFailedAfterTheLastGoodList) {
    serve_for(10000);  // fills the success window, so that one failure neither ejects the server nor makes a
                       // class avoid it
    begin_failing();
    serve_for(1000);
    fail_suspect(Outcome::connection_lost);
    EXPECT_GT(serve_for(failing_since + kNotificationDelay - harness.now - 100), 0)
        << "its responses count until the list is stale";
    harness.now = failing_since + kNotificationDelay;
    reject_call();
    EXPECT_EQ(serve_for(3000), 0);
    harness.deliver_list(ListKind::incremental, {});
    EXPECT_GT(serve_for(3000), 0) << "confirmed by the new list";
}

// A server is ejected because its connections failed, and its ejection time ends while the list is stale. It
// would respond to a half-open trial, but it may be a new process that no list has reported.
TEST_F(StaleList, SendsNoTrialToAnEjectedServer) {
    begin_failing();
    serve_for(1000);
    fail_suspect(Outcome::connect_failed);
    ASSERT_EQ(harness.ejections, 1);
    EXPECT_EQ(serve_for(kNotificationDelay), 0);
    reject_call();
    EXPECT_EQ(serve_for(20000), 0) << "no trial after the ejection time";
    harness.deliver_list(ListKind::incremental, {});
    EXPECT_GT(serve_for(3000), 0);
}

TEST_F(StaleList, AvoidsARestoredServerThatFailsAgain) {
    begin_failing();
    fail_suspect(Outcome::connect_failed);
    // The earlier calls to discovery could not be sent, so the notification delay begins later.
    serve_for(10500);
    failing_since = harness.now - 3000;
    reject_call();
    EXPECT_GT(serve_for(2000), 0) << "restored by a trial within the notification delay";
    harness.now = failing_since + kNotificationDelay;
    reject_call();
    EXPECT_GT(serve_for(2000), 0) << "failed before the list was last up to date";
    fail_suspect(Outcome::connection_lost);
    EXPECT_EQ(serve_for(3000), 0);
}

TEST_F(StaleList, PrefersServersThatHaveResponded) {
    serve_for(1000);
    begin_failing();
    // The last list adds a fourth server, to which no attempt has been sent.
    std::vector<EndpointInfo> all = make_servers(4);
    harness.deliver_list(ListKind::incremental, {all[3]});
    begin_failing();
    harness.now = failing_since + kNotificationDelay - 100;
    reject_call();
    const RequestId id = harness.start_request();
    const ServerId responsive = harness.server_of(id);
    harness.end_attempt(id, Outcome::completed, kLatency);
    harness.now = failing_since + kNotificationDelay + 100;
    reject_call();
    for (int i = 0; i < 50; ++i) {
        const RequestId next = harness.start_request();
        EXPECT_EQ(harness.server_of(next), responsive) << "the only server known to accept attempts";
        harness.end_attempt(next, Outcome::completed, kLatency);
        harness.now += kRequestGap;
    }
}

TEST_F(StaleList, UsesAnyServerIfNoneIsKnownToBePresent) {
    begin_failing();
    harness.now = failing_since + kNotificationDelay + 10000;
    reject_call();
    serve_for(1000);
    for (int i = 0; i < 3; ++i) {
        const RequestId id = harness.start_request();
        harness.end_attempt(id, Outcome::overloaded, kLatency);
        EXPECT_TRUE(harness.is_in_flight(id)) << "sent to another server";
        harness.end_attempt(id, Outcome::completed, kLatency);
    }
    serve_for(1000);
}

// The only listed server is ejected. A trial may succeed, whereas without one no request can be served.
TEST_F(StaleList, SendsTrialsToEjectedServersIfNoOthersAreListed) {
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
