// What a balancer does with servers while the list it holds could not be renewed in time: changes that it has
// missed count as told, so that each server may be one that leaves, or that was gone and came back.
#include <gtest/gtest.h>

#include "rig.hpp"

namespace mothring::test {
namespace {

constexpr Millis kBound = 6000;      // after a failed call began, what was missed counts as told
constexpr Millis kServiceTime = 20;  // of a request
constexpr Millis kBetween = 50;      // from one request to the next
constexpr ServerId kSuspect = 1;

class StaleList : public testing::Test {
protected:
    StaleList() {
        rig.give(Started{});
        rig.list(ListKind::full, make_servers(3));
    }
    static Settings asking() {
        Settings settings = make_settings();
        settings.must_subscribe = true;
        settings.resubscribe_within = 10000;
        return settings;
    }
    /// A call that began at `failing_since` has been turned away, and so are all after it.
    void turn_away() {
        rig.timers.clear();
        rig.give(EndpointList{ListKind::failed, {}, failing_since + kBound - rig.now});
    }
    void begin_failing() {
        failing_since = rig.now;
        turn_away();
    }
    /// One request after another for that long, each answered; how many of them went to the suspect.
    int serve_for(Millis length) {
        int to_suspect = 0;
        for (const Millis end = rig.now + length; rig.now < end; rig.now += kBetween) {
            const RequestId id = rig.request();
            EXPECT_TRUE(rig.out(id)) << "nobody was asked";
            to_suspect += rig.where(id) == kSuspect;
            rig.end(id, Outcome::completed, kServiceTime);
        }
        return to_suspect;
    }
    /// A request's attempt at the suspect ends like that, after another server has answered; then it is
    /// served elsewhere.
    void suspect_fails(Outcome outcome) {
        for (int i = 0; i < 1000; ++i) {
            const RequestId id = rig.request();
            if (rig.where(id) != kSuspect) {
                rig.end(id, Outcome::completed, kServiceTime);
                continue;
            }
            RequestId other = rig.request();
            for (; rig.where(other) == kSuspect; other = rig.request())
                rig.end(other, Outcome::completed, kServiceTime);
            rig.end(other, Outcome::completed, kServiceTime);
            rig.end(id, outcome, kServiceTime);
            if (rig.out(id)) rig.end(id, Outcome::completed, kServiceTime);
            return;
        }
        FAIL() << "the suspect was never asked";
    }

    Rig rig{asking()};
    Millis failing_since = 0;
};

TEST_F(StaleList, ServerFailedSinceRenewal_pastBound_getsNothing) {
    serve_for(10000);  // its window is full: one failure neither removes it nor shuns it
    begin_failing();
    serve_for(1000);
    suspect_fails(Outcome::connection_lost);
    EXPECT_GT(serve_for(failing_since + kBound - rig.now - 100), 0) << "until then its answers count";
    rig.now = failing_since + kBound;
    turn_away();
    EXPECT_EQ(serve_for(3000), 0);
    rig.list(ListKind::incremental, {});
    EXPECT_GT(serve_for(3000), 0) << "listed, as is known now";
}

// Removed when its connections were refused, and due for a trial after the bound: it answers, but may be one
// that was gone and has come back, of which nobody has told.
TEST_F(StaleList, RemovedServer_pastBound_getsNoTrial) {
    begin_failing();
    serve_for(1000);
    suspect_fails(Outcome::connect_failed);
    ASSERT_EQ(rig.removals(), 1);
    EXPECT_EQ(serve_for(kBound), 0);
    turn_away();
    EXPECT_EQ(serve_for(20000), 0) << "its backoff was over";
    rig.list(ListKind::incremental, {});
    EXPECT_GT(serve_for(3000), 0);
}

TEST_F(StaleList, RestoredServer_pastBound_getsNothing) {
    begin_failing();
    suspect_fails(Outcome::connect_failed);
    // The calls of the last 12 s have found nobody, so that the time until changes count as told begins late.
    serve_for(10500);
    failing_since = rig.now - 3000;
    turn_away();
    EXPECT_GT(serve_for(2000), 0) << "restored by a trial within the bound";
    rig.now = failing_since + kBound;
    turn_away();
    EXPECT_GT(serve_for(2000), 0) << "it failed before the list was last true: told since";
    suspect_fails(Outcome::connection_lost);
    EXPECT_EQ(serve_for(3000), 0);
}

TEST_F(StaleList, ServerNotAskedOfLate_pastBound_getsNothingWhileOthersAreKnown) {
    Rig& r = rig;
    serve_for(1000);
    begin_failing();
    // A fourth one that the last list has brought, and that no request has met.
    std::vector<EndpointInfo> all = make_servers(4);
    rig.list(ListKind::incremental, {all[3]});
    begin_failing();
    r.now = failing_since + kBound - 100;
    turn_away();
    const RequestId id = rig.request();
    const ServerId met = rig.where(id);
    rig.end(id, Outcome::completed, kServiceTime);
    r.now = failing_since + kBound + 100;
    turn_away();
    for (int i = 0; i < 50; ++i, r.now += kBetween) {
        const RequestId next = rig.request();
        EXPECT_EQ(rig.where(next), met) << "the only one known to take new work";
        rig.end(next, Outcome::completed, kServiceTime);
    }
}

TEST_F(StaleList, NobodyKnown_pastBound_stillServed) {
    begin_failing();
    rig.now = failing_since + kBound + 10000;
    turn_away();
    serve_for(1000);
    for (int i = 0; i < 3; ++i) {
        const RequestId id = rig.request();
        rig.end(id, Outcome::overloaded, kServiceTime);
        EXPECT_TRUE(rig.out(id)) << "another is asked";
        rig.end(id, Outcome::completed, kServiceTime);
    }
    serve_for(1000);
}

// Only the suspect is left on the list, and it is out of the pool: its trial is better than serving no one.
TEST_F(StaleList, OnlyRemovedServersListed_pastBound_areTried) {
    suspect_fails(Outcome::connect_failed);
    ASSERT_EQ(rig.removals(), 1);
    rig.list(ListKind::full, make_servers(1));
    begin_failing();
    rig.now = failing_since + kBound + 10000;
    turn_away();
    EXPECT_GT(serve_for(1000), 0);
}

}  // namespace
}  // namespace mothring::test
