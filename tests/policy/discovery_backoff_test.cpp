/// @file
/// Tests of the wait before the next call to discovery after a failed one.
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

    // Lets a call fail and returns the wait before the next call.
    Millis next_wait(std::optional<Millis> notified_within, ListFailure failure = ListFailure::rejected,
                     std::optional<Millis> retry_after = {}) {
        harness.timers.clear();
        harness.deliver(EndpointList{ListKind::failed, {}, notified_within, failure, retry_after});
        return harness.timers.begin()->first - harness.now;
    }
};

TEST(DiscoveryBackoff, SpreadsTheCallsOfDifferentSidecars) {
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
        EXPECT_EQ(harness.count_last_actions<Subscribe>(), 0)
            << "a timer that has already fired has no effect";
    }
    EXPECT_EQ(waits.size(), 5U);
}

// Changes missed by a failed call count as notified after 6 s. Until then the next call must come within 1.5
// s, which leaves time for a call that hangs and for discovery to handle the call. It must not come sooner
// than half of that, because quick calls of a whole fleet keep an overloaded discovery overloaded.
TEST(DiscoveryBackoff, CallsOftenEnoughWithinTheNotificationDelay) {
    FailingCaller caller(350);
    // Discovery rejects the calls before the first subscription exists.
    for (int i = 0; i < 6; ++i) caller.harness.deliver_list(ListKind::failed, {});
    EXPECT_GT(caller.next_wait({}), 2000) << "no missed change is known";
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
    EXPECT_LE(calls, 8) << "discovery handles the calls of the fleet one after another";
    // A response without entries ends the series of failures.
    caller.harness.deliver_list(ListKind::incremental, {});
    EXPECT_LE(caller.next_wait({}), 1500);
}

// After the notification delay, discovery cannot answer all calls of a large fleet in time, so the fleet
// calls less often. A small fleet cannot overload discovery, and the delay of the next change starts again
// once discovery can be reached.
TEST(DiscoveryBackoff, BacksOffAfterTheNotificationDelayUnlessTheFleetIsSmall) {
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

TEST(DiscoveryBackoff, CallsSoonAfterTheFirstFailureOfASubscription) {
    for (const ListFailure failure : {ListFailure::timed_out, ListFailure::broken}) {
        FailingCaller caller(350);
        EXPECT_LE(caller.next_wait(4000, failure), 300);
    }
    FailingCaller caller(350);
    caller.next_wait(4000, ListFailure::broken);
    EXPECT_GE(caller.next_wait(3900, ListFailure::broken), 750)
        << "the second break waits as long as a rejection";
    for (int i = 0; i < 20; ++i)
        EXPECT_LE(caller.next_wait(6000, ListFailure::unreachable), 500)
            << "an unreachable discovery is not loaded by calls";
}

// The settings do not limit the time within which a call must be repeated.
TEST(DiscoveryBackoff, WaitsAtMostEightSecondsWithoutADeadline) {
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

TEST(DiscoveryBackoff, ObservesRetryAfterUpToALimit) {
    FailingCaller caller(350);
    EXPECT_GE(caller.next_wait(4000, ListFailure::rejected, 3000), 3000);
    EXPECT_LE(caller.next_wait(4000, ListFailure::rejected, 3000), 4000);
    EXPECT_LE(caller.next_wait(4000, ListFailure::rejected, 3600000), 10000);
}

TEST(DiscoveryBackoff, RenewsASubscriptionWithinItsDeadline) {
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
