/// @file
/// How a whole fleet's calls for the server list load discovery, in simulated time: the decisions of N
/// balancers against a model of a discovery service that answers in turn and rejects what would wait too
/// long. Neither threads nor sockets; the same figures in every run.
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

// Discovery, as a fleet of 350 sidecars meets it.

/// A call that would wait longer for its turn is rejected.
constexpr Millis kMaxWait = 1 * kSecond;
/// From a call to its rejection.
constexpr Millis kRejectionLatency = 25;
/// What a rejection costs discovery, as a share of what an answer costs.
constexpr double kRejectionCost = 1.0 / 21;
/// What the answers to a whole fleet take.
constexpr Millis kUsualRound = 7.1 * kSecond;

/// From the first failed call of a run of failures on, until what was missed counts as notified.
constexpr Millis kNotificationDelay = 6 * kSecond;
constexpr Millis kResubscribeWithin = 10 * kSecond;

// What a simulation may take at most.
constexpr Millis kLongestRun = 300 * kSecond;
constexpr std::size_t kMostEvents = 10'000'000;

/// On the list that every sidecar holds from before.
constexpr ServerId kServers = 4;

/// The time from `from` on and before `until`.
struct Interval {
    Millis from = 0;
    Millis until = 0;

    bool contains(Millis at) const { return at >= from && at < until; }
};

/// A discovery service that takes calls in turn, one at a time. Rejecting a call costs it time as well, which
/// is added to the backlog without a bound. A watch that was answered once goes on at no cost.
class OverloadedDiscovery {
public:
    struct Reply {
        Millis at = 0;
        bool answered = false;  // else rejected
    };

    /// @param round  time that the answers to all `callers` take together
    /// @param down   while this lasts every call is rejected, at no cost
    OverloadedDiscovery(std::size_t callers, Millis round, Interval down = {})
        : service_time_(round / static_cast<double>(callers)), down_(down) {}

    /// Takes a call. Calls must come in the order of their times.
    Reply call(Millis now) {
        const Reply rejection{now + kRejectionLatency, false};
        if (down_.contains(now)) return rejection;
        busy_until_ = std::max(busy_until_, now);
        const bool answered = busy_until_ - now <= kMaxWait;
        busy_until_ += answered ? service_time_ : service_time_ * kRejectionCost;
        return answered ? Reply{busy_until_, true} : rejection;
    }

private:
    Millis service_time_;
    Interval down_;
    Millis busy_until_ = 0;  // the backlog is what of this lies ahead
};

/// All sidecars of a fleet, started at time 0 with their calls to one discovery service. A call is open until
/// its reply comes, however late: the second call that a node makes beside a late one is not modelled.
class CallingFleet {
public:
    CallingFleet(std::size_t size, OverloadedDiscovery discovery, std::uint64_t first_seed = 1)
        : discovery_(discovery) {
        Settings settings = subscribing_settings(kResubscribeWithin);
        settings.fleet_size = static_cast<std::uint32_t>(size);
        sidecars_.reserve(size);
        for (std::size_t i = 0; i < size; ++i) sidecars_.push_back({Balancer(settings, first_seed + i)});
    }

    /// Starts all sidecars and goes on until all are answered, or until `end`.
    void run(Millis end = kLongestRun) {
        for (std::size_t i = 0; i < sidecars_.size(); ++i) start(i);
        for (std::size_t events = 0; !due_.empty() && due_.top().at < end; ++events) {
            if (events == kMostEvents) {
                ADD_FAILURE() << "stopped after " << events << " events, at " << due_.top().at << " ms";
                return;
            }
            const Due next = due_.top();
            due_.pop();
            deliver(next.sidecar, next.at, next.event);
        }
    }

    /// When the last of all sidecars was answered; kNever where one was not.
    Millis all_answered_at() const {
        Millis last = 0;
        for (const Sidecar& sidecar : sidecars_) last = std::max(last, sidecar.answered_at.value_or(kNever));
        return last;
    }
    std::size_t unanswered() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(sidecars_, [](const Sidecar& sidecar) { return !sidecar.answered_at; }));
    }

    /// The most calls that were offered in any span of this length (wherever it begins), of those made
    /// `during` this interval.
    std::size_t most_calls(Millis span, Interval during = {0, kNever}) const {
        const auto begin = std::ranges::lower_bound(calls_, during.from);
        const auto end = std::ranges::lower_bound(calls_, during.until);
        std::ptrdiff_t most = 0;
        for (auto first = begin, last = begin; last != end; ++last) {
            while (*last - *first >= span) ++first;
            most = std::max(most, last - first + 1);
        }
        return static_cast<std::size_t>(most);
    }

    /// The longest wait of a sidecar from the rejection of a call to its next call.
    Millis longest_wait() const { return longest_wait_; }
    std::size_t calls() const { return calls_.size(); }

    friend std::ostream& operator<<(std::ostream& out, const CallingFleet& fleet) {
        return out << "fleet of " << fleet.sidecars_.size() << ": all answered at " << fleet.all_answered_at()
                   << " ms, unanswered " << fleet.unanswered() << ", calls " << fleet.calls()
                   << ", most in a second " << fleet.most_calls(kSecond) << ", longest wait "
                   << fleet.longest_wait() << " ms";
    }

private:
    struct Sidecar {
        Balancer balancer;
        bool calling = false;                 // a call or the watch is open
        std::optional<Millis> notified_at{};  // when what the list missed counts as notified
        std::optional<Millis> failed_at{};    // when the last call ended, unless it was answered
        std::optional<Millis> answered_at{};  // from here on it watches
    };
    /// An event that a sidecar gets; those of the same time in the order in which they came to be due.
    struct Due {
        Millis at = 0;
        std::uint64_t order = 0;
        std::size_t sidecar = 0;
        Event event;

        bool operator>(const Due& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(std::size_t sidecar, Millis at, Event event) {
        due_.push({at, next_order_++, sidecar, std::move(event)});
    }

    void start(std::size_t sidecar) {
        schedule(sidecar, 0, Started{});
        EndpointList cached;
        cached.kind = ListKind::cached;
        cached.servers = make_servers(kServers);
        schedule(sidecar, 0, std::move(cached));
    }

    void deliver(std::size_t sidecar, Millis now, const Event& event) {
        if (const auto* list = std::get_if<EndpointList>(&event)) note_reply(sidecars_[sidecar], now, *list);
        std::vector<Action> actions;
        sidecars_[sidecar].balancer.handle(now, event, actions);
        for (const Action& action : actions) {
            if (const auto* timer = std::get_if<SetTimer>(&action))
                schedule(sidecar, std::max(now, timer->at), TimerFired{timer->token});
            if (const auto* subscribe = std::get_if<Subscribe>(&action); subscribe && subscribe->active)
                call(sidecar, now);
        }
    }

    static void note_reply(Sidecar& sidecar, Millis now, const EndpointList& list) {
        if (list.kind == ListKind::incremental) sidecar.answered_at = now;
        if (list.kind != ListKind::failed) return;
        sidecar.calling = false;
        sidecar.failed_at = now;
    }

    void call(std::size_t index, Millis now) {
        Sidecar& sidecar = sidecars_[index];
        if (std::exchange(sidecar.calling, true)) return;
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
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    std::uint64_t next_order_ = 0;
    std::vector<Millis> calls_;  // when each was made, in order
    Millis longest_wait_ = 0;
};

/// Puts the figures of a fleet into the test's report, also where the test passes.
void record(const CallingFleet& fleet) {
    std::ostringstream text;
    text << fleet;
    testing::Test::RecordProperty("measured", text.str());
}

/// A fleet that starts while discovery can take no call; after the outage a round takes it 5 s.
CallingFleet after_outage(std::size_t size, Millis outage) {
    CallingFleet fleet(size, OverloadedDiscovery(size, 5 * kSecond, Interval{0, outage}));
    fleet.run();
    return fleet;
}

std::string fleet_name(const testing::TestParamInfo<std::size_t>& info) {
    return "fleetOf" + std::to_string(info.param);
}

/// The parameter: how many sidecars there are.
class DiscoveryLoad : public testing::TestWithParam<std::size_t> {
protected:
    /// A fleet after its start, with a discovery whose answers to all of it take `round`.
    static CallingFleet started(Millis round) {
        CallingFleet fleet(GetParam(), OverloadedDiscovery(GetParam(), round));
        fleet.run();
        record(fleet);
        return fleet;
    }
};
INSTANTIATE_TEST_SUITE_P(Fleets, DiscoveryLoad, testing::Values(20, 30, 350, 1024), fleet_name);

TEST_P(DiscoveryLoad, AnswersAllWithinTheNotificationDelayWhereDiscoveryIsQuick) {
    const CallingFleet fleet = started(5 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), kNotificationDelay) << fleet;
}

TEST_P(DiscoveryLoad, AnswersAllWithinTenSecondsOfAFleetStart) {
    const CallingFleet fleet = started(kUsualRound);
    EXPECT_LE(fleet.all_answered_at(), 10 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, MakesNoMoreThanTwoCallsEachInASecond) {
    const CallingFleet fleet = started(kUsualRound);
    EXPECT_LE(fleet.most_calls(kSecond), 2 * GetParam()) << fleet;
}

TEST_P(DiscoveryLoad, AnswersAllInTheEndWhereDiscoveryIsTenTimesSlower) {
    const CallingFleet fleet = started(70 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), 240 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, CallsLessOftenWhereDiscoveryIsTenTimesSlower) {
    const CallingFleet fleet = started(70 * kSecond);
    const std::size_t most = fleet.most_calls(kSecond, {30 * kSecond, kNever});
    RecordProperty("most_in_a_second_after_30_s", std::to_string(most));
    EXPECT_LE(most, GetParam() / 2) << fleet;
}

TEST_P(DiscoveryLoad, AnswersAllWithinASecondWhereDiscoveryIsTenTimesFaster) {
    const CallingFleet fleet = started(0.7 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), 1 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, AnswersAllWithinTenSecondsOfAnOutageOfEightSeconds) {
    const CallingFleet fleet = after_outage(GetParam(), 8 * kSecond);
    record(fleet);
    EXPECT_LE(fleet.all_answered_at(), (8 + 10) * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, AnswersAllWithinTenSecondsOfAnOutageOfTwentySeconds) {
    const CallingFleet fleet = after_outage(GetParam(), 20 * kSecond);
    record(fleet);
    EXPECT_LE(fleet.all_answered_at(), (20 + 10) * kSecond) << fleet;
}

/// As above, for fleets large enough that a share of them in a short time tells more than chance.
class DiscoveryLoadOfMany : public testing::TestWithParam<std::size_t> {};
INSTANTIATE_TEST_SUITE_P(Fleets, DiscoveryLoadOfMany, testing::Values(350, 1024), fleet_name);

TEST_P(DiscoveryLoadOfMany, SpreadsItsCallsInTheFirstSecondAfterAnOutage) {
    constexpr Millis kSlot = 50;
    for (const Millis outage : {8 * kSecond, 20 * kSecond}) {
        const CallingFleet fleet = after_outage(GetParam(), outage);
        const std::size_t most = fleet.most_calls(kSlot, {outage, outage + kSecond});
        const std::string when = "after_" + std::to_string(static_cast<int>(outage)) + "_ms";
        RecordProperty("most_in_a_slot_" + when, std::to_string(most));
        EXPECT_GT(most, 0U) << when;
        EXPECT_LE(most, GetParam() / 5) << when << "; " << fleet;
    }
}

TEST(DiscoveryLoadOfFew, CallsOftenDuringAnOutageOfAMinute) {
    constexpr std::size_t kSize = 3;
    constexpr Millis kOutage = 60 * kSecond;
    constexpr Millis kLongestWait = 1500;
    Millis longest = 0;
    for (std::uint64_t first_seed = 1; first_seed < 100; first_seed += kSize) {
        CallingFleet fleet(kSize, OverloadedDiscovery(kSize, 5 * kSecond, Interval{0, kOutage}), first_seed);
        fleet.run();
        longest = std::max(longest, fleet.longest_wait());
        EXPECT_LE(fleet.longest_wait(), kLongestWait) << "seeds from " << first_seed << "; " << fleet;
        // Had it stopped calling there would be no wait to measure.
        EXPECT_EQ(fleet.unanswered(), 0U) << "seeds from " << first_seed << "; " << fleet;
    }
    testing::Test::RecordProperty("longest_wait_ms", std::to_string(longest));
}

}  // namespace
}  // namespace mothring::test
