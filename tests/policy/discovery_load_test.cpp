/// @file
/// The load that the calls of a whole fleet of sidecars put on discovery, in simulated time. The balancers
/// call a model of a discovery service that answers calls one at a time and rejects those that would wait too
/// long. The simulation uses neither threads nor sockets, so every run gives the same figures.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <ostream>
#include <queue>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mothring/balancer.hpp"
#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

constexpr Millis kSecond = 1000;
constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

// The discovery service, as a fleet of 350 sidecars experiences it.

/// A call that would wait longer than this is rejected.
constexpr Millis kMaxWait = 1 * kSecond;
/// The time from a call to its rejection.
constexpr Millis kRejectionLatency = 25;
/// The time that a rejection takes discovery, as a share of the time for an answer.
constexpr double kRejectionCost = 1.0 / 21;
/// The time that discovery takes to answer the whole fleet.
constexpr Millis kUsualFleetServiceTime = 7.1 * kSecond;

/// The time from the first of several failed calls until the changes that they have missed count as notified.
constexpr Millis kNotificationDelay = 6 * kSecond;
constexpr Millis kResubscribeWithin = 10 * kSecond;

// The limits of a simulation.
constexpr Millis kMaxRunTime = 300 * kSecond;
constexpr std::size_t kMaxEvents = 10'000'000;

/// The number of servers on the cached list with which every sidecar starts.
constexpr ServerId kServers = 4;

/// The half-open interval of time [from, until).
struct Interval {
    Millis from = 0;
    Millis until = 0;

    bool contains(Millis at) const { return at >= from && at < until; }
};

/// A model of a discovery service that handles calls one at a time, in the order of their arrival. A
/// rejection takes time as well and adds to the backlog, which is not limited. A subscription costs nothing
/// after its first answer.
class OverloadedDiscovery {
public:
    struct Reply {
        Millis at = 0;
        bool answered = false;  // false: rejected
    };

    /// @param fleet_service_time  the time that the answers to all `callers` take together
    /// @param outage              the interval in which every call is rejected at no cost
    OverloadedDiscovery(std::size_t callers, Millis fleet_service_time, Interval outage = {})
        : service_time_(fleet_service_time / static_cast<double>(callers)), outage_(outage) {}

    /// Handles a call. Calls must be made in the order of their times.
    Reply call(Millis now) {
        const Reply rejection{now + kRejectionLatency, false};
        if (outage_.contains(now)) return rejection;
        busy_until_ = std::max(busy_until_, now);
        const bool answered = busy_until_ - now <= kMaxWait;
        busy_until_ += answered ? service_time_ : service_time_ * kRejectionCost;
        return answered ? Reply{busy_until_, true} : rejection;
    }

private:
    Millis service_time_;
    Interval outage_;
    Millis busy_until_ = 0;  // the end of the backlog
};

/// The sidecars of a fleet that all start at time 0 and call one discovery service. A call remains open until
/// its reply arrives, however late. A real sidecar makes a second call if the first one is late; the model
/// does not.
class SubscribingFleet {
public:
    SubscribingFleet(std::size_t size, OverloadedDiscovery discovery, std::uint64_t first_seed = 1)
        : discovery_(discovery) {
        Settings settings = subscribing_settings(kResubscribeWithin);
        settings.fleet_size = static_cast<std::uint32_t>(size);
        sidecars_.reserve(size);
        for (std::size_t i = 0; i < size; ++i) sidecars_.push_back({Balancer(settings, first_seed + i)});
    }

    /// Starts all sidecars and runs the simulation until no event is scheduled, or until `end`.
    void run(Millis end = kMaxRunTime) {
        for (std::size_t i = 0; i < sidecars_.size(); ++i) start(i);
        for (std::size_t events = 0; !events_.empty() && events_.top().at < end; ++events) {
            if (events == kMaxEvents) {
                ADD_FAILURE() << "stopped after " << events << " events, at " << events_.top().at << " ms";
                return;
            }
            const ScheduledEvent next = events_.top();
            events_.pop();
            deliver(next.sidecar, next.at, next.event);
        }
    }

    /// Returns the time at which the last sidecar was answered, or kNever if one was not answered.
    Millis all_answered_at() const {
        Millis last = 0;
        for (const Sidecar& sidecar : sidecars_) last = std::max(last, sidecar.answered_at.value_or(kNever));
        return last;
    }
    std::size_t unanswered() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(sidecars_, [](const Sidecar& sidecar) { return !sidecar.answered_at; }));
    }

    /// Returns the highest number of calls made within any span of this length, counting only the calls made
    /// in the interval `during`.
    std::size_t max_calls(Millis span, Interval during = {0, kNever}) const {
        const auto begin = std::ranges::lower_bound(calls_, during.from);
        const auto end = std::ranges::lower_bound(calls_, during.until);
        std::ptrdiff_t max = 0;
        for (auto first = begin, last = begin; last != end; ++last) {
            while (*last - *first >= span) ++first;
            max = std::max(max, last - first + 1);
        }
        return static_cast<std::size_t>(max);
    }

    /// Returns the longest time from the rejection of a call to the next call of the same sidecar.
    Millis longest_wait() const { return longest_wait_; }
    std::size_t calls() const { return calls_.size(); }

    friend std::ostream& operator<<(std::ostream& out, const SubscribingFleet& fleet) {
        return out << "fleet of " << fleet.sidecars_.size() << ": all answered at " << fleet.all_answered_at()
                   << " ms, unanswered " << fleet.unanswered() << ", calls " << fleet.calls()
                   << ", most in a second " << fleet.max_calls(kSecond) << ", longest wait "
                   << fleet.longest_wait() << " ms";
    }

private:
    struct Sidecar {
        Balancer balancer;
        bool has_open_call = false;  // a call or the subscription is open
        std::optional<Millis>
            notified_at{};  // changes missed since the first failed call count as notified then
        std::optional<Millis> failed_at{};    // the time at which the last failed call ended
        std::optional<Millis> answered_at{};  // the subscription is established from this time on
    };
    /// An event that is delivered to a sidecar at a simulated time. Events of the same time are delivered in
    /// the order in which they were scheduled.
    struct ScheduledEvent {
        Millis at = 0;
        std::uint64_t order = 0;
        std::size_t sidecar = 0;
        Event event;

        bool operator>(const ScheduledEvent& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(std::size_t sidecar, Millis at, Event event) {
        events_.push({at, next_order_++, sidecar, std::move(event)});
    }

    void start(std::size_t sidecar) {
        schedule(sidecar, 0, Started{});
        EndpointList cached;
        cached.kind = ListKind::cached;
        cached.servers = make_servers(kServers);
        schedule(sidecar, 0, std::move(cached));
    }

    void deliver(std::size_t sidecar, Millis now, const Event& event) {
        if (const auto* list = std::get_if<EndpointList>(&event))
            record_reply(sidecars_[sidecar], now, *list);
        std::vector<Action> actions;
        sidecars_[sidecar].balancer.handle(now, event, actions);
        for (const Action& action : actions) {
            if (const auto* timer = std::get_if<SetTimer>(&action))
                schedule(sidecar, std::max(now, timer->at), TimerFired{timer->token});
            if (const auto* subscribe = std::get_if<Subscribe>(&action); subscribe && subscribe->active)
                call(sidecar, now);
        }
    }

    static void record_reply(Sidecar& sidecar, Millis now, const EndpointList& list) {
        if (list.kind == ListKind::incremental) sidecar.answered_at = now;
        if (list.kind != ListKind::failed) return;
        sidecar.has_open_call = false;
        sidecar.failed_at = now;
    }

    void call(std::size_t index, Millis now) {
        Sidecar& sidecar = sidecars_[index];
        if (std::exchange(sidecar.has_open_call, true)) return;
        calls_.push_back(now);
        if (sidecar.failed_at) longest_wait_ = std::max(longest_wait_, now - *sidecar.failed_at);
        const OverloadedDiscovery::Reply reply = discovery_.call(now);
        if (!reply.answered && !sidecar.notified_at) sidecar.notified_at = now + kNotificationDelay;
        EndpointList list;
        list.kind = reply.answered ? ListKind::incremental : ListKind::failed;
        if (!reply.answered) list.notified_within = *sidecar.notified_at - reply.at;
        schedule(index, reply.at, std::move(list));
    }

    OverloadedDiscovery discovery_;
    std::vector<Sidecar> sidecars_;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> events_;
    std::uint64_t next_order_ = 0;
    std::vector<Millis> calls_;  // the time of each call, in order
    Millis longest_wait_ = 0;
};

/// Writes the figures of a fleet to the test report, also if the test passes.
void record(const SubscribingFleet& fleet) {
    std::ostringstream text;
    text << fleet;
    testing::Test::RecordProperty("measured", text.str());
}

/// Returns a fleet that started during an outage of discovery. After the outage, discovery needs 5 s to
/// answer the whole fleet.
SubscribingFleet after_outage(std::size_t size, Millis outage) {
    SubscribingFleet fleet(size, OverloadedDiscovery(size, 5 * kSecond, Interval{0, outage}));
    fleet.run();
    return fleet;
}

std::string fleet_name(const testing::TestParamInfo<std::size_t>& info) {
    return "fleetOf" + std::to_string(info.param);
}

/// The parameter is the number of sidecars.
class DiscoveryLoad : public testing::TestWithParam<std::size_t> {
protected:
    /// Returns a fleet after its start. Discovery needs `fleet_service_time` to answer the whole fleet.
    static SubscribingFleet started(Millis fleet_service_time) {
        SubscribingFleet fleet(GetParam(), OverloadedDiscovery(GetParam(), fleet_service_time));
        fleet.run();
        record(fleet);
        return fleet;
    }
};
INSTANTIATE_TEST_SUITE_P(Fleets, DiscoveryLoad, testing::Values(20, 30, 350, 1024), fleet_name);

TEST_P(DiscoveryLoad, AllAreAnsweredWithinTheNotificationDelayIfDiscoveryIsFast) {
    const SubscribingFleet fleet = started(5 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), kNotificationDelay) << fleet;
}

TEST_P(DiscoveryLoad, AllAreAnsweredWithinTenSecondsOfAFleetStart) {
    const SubscribingFleet fleet = started(kUsualFleetServiceTime);
    EXPECT_LE(fleet.all_answered_at(), 10 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, SidecarsMakeAtMostTwoCallsPerSecondOnAverage) {
    const SubscribingFleet fleet = started(kUsualFleetServiceTime);
    EXPECT_LE(fleet.max_calls(kSecond), 2 * GetParam()) << fleet;
}

TEST_P(DiscoveryLoad, AllAreAnsweredEventuallyIfDiscoveryIsTenTimesSlower) {
    const SubscribingFleet fleet = started(70 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), 240 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, SidecarsCallLessOftenIfDiscoveryIsTenTimesSlower) {
    const SubscribingFleet fleet = started(70 * kSecond);
    const std::size_t max_calls = fleet.max_calls(kSecond, {30 * kSecond, kNever});
    RecordProperty("most_in_a_second_after_30_s", std::to_string(max_calls));
    EXPECT_LE(max_calls, GetParam() / 2) << fleet;
}

TEST_P(DiscoveryLoad, AllAreAnsweredWithinASecondIfDiscoveryIsTenTimesFaster) {
    const SubscribingFleet fleet = started(0.7 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), 1 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, AllAreAnsweredWithinTenSecondsOfAnOutageOfEightSeconds) {
    const SubscribingFleet fleet = after_outage(GetParam(), 8 * kSecond);
    record(fleet);
    EXPECT_LE(fleet.all_answered_at(), (8 + 10) * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, AllAreAnsweredWithinTenSecondsOfAnOutageOfTwentySeconds) {
    const SubscribingFleet fleet = after_outage(GetParam(), 20 * kSecond);
    record(fleet);
    EXPECT_LE(fleet.all_answered_at(), (20 + 10) * kSecond) << fleet;
}

/// Like DiscoveryLoad, for fleets that are large enough for the number of calls in a short time to be
/// significant.
class DiscoveryLoadOfLargeFleet : public testing::TestWithParam<std::size_t> {};
INSTANTIATE_TEST_SUITE_P(Fleets, DiscoveryLoadOfLargeFleet, testing::Values(350, 1024), fleet_name);

TEST_P(DiscoveryLoadOfLargeFleet, CallsAreSpreadOverTheFirstSecondAfterAnOutage) {
    constexpr Millis kSlot = 50;
    for (const Millis outage : {8 * kSecond, 20 * kSecond}) {
        const SubscribingFleet fleet = after_outage(GetParam(), outage);
        const std::size_t max_calls = fleet.max_calls(kSlot, {outage, outage + kSecond});
        const std::string when = "after_" + std::to_string(static_cast<int>(outage)) + "_ms";
        RecordProperty("most_in_a_slot_" + when, std::to_string(max_calls));
        EXPECT_GT(max_calls, 0U) << when;
        EXPECT_LE(max_calls, GetParam() / 5) << when << "; " << fleet;
    }
}

TEST(DiscoveryLoadOfSmallFleet, SidecarsCallOftenDuringAnOutageOfAMinute) {
    constexpr std::size_t kSize = 3;
    constexpr Millis kOutage = 60 * kSecond;
    constexpr Millis kLongestWait = 1500;
    Millis longest = 0;
    for (std::uint64_t first_seed = 1; first_seed < 100; first_seed += kSize) {
        SubscribingFleet fleet(kSize, OverloadedDiscovery(kSize, 5 * kSecond, Interval{0, kOutage}),
                               first_seed);
        fleet.run();
        longest = std::max(longest, fleet.longest_wait());
        EXPECT_LE(fleet.longest_wait(), kLongestWait) << "seeds from " << first_seed << "; " << fleet;
        // A sidecar that stopped calling would have no wait to measure, but would stay unanswered.
        EXPECT_EQ(fleet.unanswered(), 0U) << "seeds from " << first_seed << "; " << fleet;
    }
    testing::Test::RecordProperty("longest_wait_ms", std::to_string(longest));
}

}  // namespace
}  // namespace mothring::test
