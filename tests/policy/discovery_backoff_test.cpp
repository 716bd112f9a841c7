/// @file
/// How long the next call to discovery waits after a failed one.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

// A sidecar whose calls to discovery fail.
struct FailingCaller {
    PolicyHarness harness;

    explicit FailingCaller(std::uint32_t sidecars) : harness(settings_of(sidecars)) {
        harness.deliver(Started{});
    }

    static Settings settings_of(std::uint32_t sidecars) {
        Settings settings = subscribing_settings(10000);
        settings.fleet_size = sidecars;
        return settings;
    }

    // Its call fails; returns how long the next one then waits.
    Millis next_wait(std::optional<Millis> notified_within, ListFailure failure = ListFailure::rejected,
                     std::optional<Millis> retry_after = {}) {
        harness.timers.clear();
        harness.deliver(EndpointList{ListKind::failed, {}, notified_within, failure, retry_after});
        return harness.timers.begin()->first - harness.now;
    }
};

TEST(DiscoveryBackoff, SpreadsTheNextCallsOfSidecars) {
    const Settings settings = subscribing_settings(0);
    std::set<Millis> waits;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        PolicyHarness harness(settings, seed);
        harness.deliver(Started{});
        EXPECT_EQ(harness.count_last_actions<Subscribe>(), 1);
        harness.deliver_list(ListKind::cached, make_servers(2));
        harness.deliver_list(ListKind::failed, {});
        ASSERT_EQ(harness.timers.size(), 1U);
        waits.insert(harness.timers.begin()->first);
        harness.now = harness.timers.begin()->first;
        const TimerToken token = harness.timers.begin()->second;
        harness.deliver(TimerFired{token});
        EXPECT_EQ(harness.count_last_actions<Subscribe>(), 1);
        harness.deliver(TimerFired{token});
        EXPECT_EQ(harness.count_last_actions<Subscribe>(), 0) << "a spent timer has no effect";
    }
    EXPECT_EQ(waits.size(), 5U);
}

// What a failed call has missed counts as notified within 6 s (rule 3). Until then the next call comes within
// 1.5 s, which leaves time for one that hangs and for its turn; and no sooner than half of that, as quick
// calls of a whole fleet keep an overloaded discovery overloaded.
TEST(DiscoveryBackoff, CallsOftenEnoughWithinTheNotificationDelay) {
    FailingCaller caller(350);
    // Rejected with no watch open yet.
    for (int i = 0; i < 6; ++i) caller.harness.deliver_list(ListKind::failed, {});
    EXPECT_GT(caller.next_wait({}), 2000) << "nothing is known to be missed";
    const Millis notified_at = caller.harness.now + 6000;
    int calls = 0;
    while (caller.harness.now < notified_at) {
        const Millis wait = caller.next_wait(notified_at - caller.harness.now);
        EXPECT_LE(wait, 1500);
        EXPECT_GE(wait, 750);
        caller.harness.now += wait;
        ++calls;
    }
    EXPECT_GE(calls, 4);
    EXPECT_LE(calls, 8) << "a fleet's calls are handled in turn";
    // An answer without entries ends the failures before it.
    caller.harness.deliver_list(ListKind::incremental, {});
    EXPECT_LE(caller.next_wait({}), 1500);
}

// Past the delay a large fleet is not answered in time whatever it does: its calls thin out. A small one can
// not overload anything, and the next change's delay begins anew once discovery can be reached.
TEST(DiscoveryBackoff, BacksOffPastTheNotificationDelayUnlessTheFleetIsSmall) {
    FailingCaller large(350);
    FailingCaller small(3);
    const Millis start = large.harness.now;
    const auto set_now = [&](Millis now) {
        large.harness.now = now;
        small.harness.now = now;
    };
    for (const Millis age : {6000.0, 12000.0, 24000.0, 60000.0, 3600000.0}) {
        set_now(start + age);
        if (age == 6000) {
            large.next_wait(0);
            small.next_wait(0);
            set_now(start + 2 * age);
        }
        const Millis wait = large.next_wait(6000 - age);
        EXPECT_LE(wait, std::clamp((large.harness.now - start) / 4, 1500.0, 8000.0)) << age;
        EXPECT_GE(wait, std::clamp((large.harness.now - start - 6000) / 8, 750.0, 4000.0)) << age;
        EXPECT_LE(small.next_wait(6000 - age), 1500) << age;
    }
}

TEST(DiscoveryBackoff, CallsSoonAfterTheFirstFailureOfAWatch) {
    for (const ListFailure failure : {ListFailure::timed_out, ListFailure::broken}) {
        FailingCaller caller(350);
        EXPECT_LE(caller.next_wait(4000, failure), 300);
    }
    FailingCaller caller(350);
    caller.next_wait(4000, ListFailure::broken);
    EXPECT_GE(caller.next_wait(3900, ListFailure::broken), 750) << "as one that is rejected";
    for (int i = 0; i < 20; ++i)
        EXPECT_LE(caller.next_wait(6000, ListFailure::unreachable), 500) << "that costs discovery nothing";
}

// Nobody says by when a call has to be renewed.
TEST(DiscoveryBackoff, WaitsEightSecondsAtMostWithoutAKnownBound) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        PolicyHarness harness(subscribing_settings(0), seed);
        harness.deliver(Started{});
        for (int i = 0; i < 20; ++i) {
            harness.timers.clear();
            harness.deliver_list(ListKind::failed, {});
            EXPECT_LE(harness.timers.begin()->first - harness.now, 8000);
        }
    }
}

TEST(DiscoveryBackoff, KeepsToRetryAfterWithinReason) {
    FailingCaller caller(350);
    EXPECT_GE(caller.next_wait(4000, ListFailure::rejected, 3000), 3000);
    EXPECT_LE(caller.next_wait(4000, ListFailure::rejected, 3000), 4000);
    EXPECT_LE(caller.next_wait(4000, ListFailure::rejected, 3600000), 10000);
}

TEST(DiscoveryBackoff, RenewsASubscriptionWithinItsBound) {
    const Settings settings = subscribing_settings(2000);
    PolicyHarness harness(settings);
    harness.deliver(Started{});
    for (int i = 0; i < 10; ++i) {
        harness.deliver_list(ListKind::failed, {});
        const Millis at = harness.timers.begin()->first;
        EXPECT_LE(at, harness.now + settings.resubscribe_within);
        const TimerToken token = harness.timers.begin()->second;
        harness.timers.clear();
        harness.now = at;
        harness.deliver(TimerFired{token});
        EXPECT_EQ(harness.count_last_actions<Subscribe>(), 1);
    }
}

}  // namespace
}  // namespace mothring::test
