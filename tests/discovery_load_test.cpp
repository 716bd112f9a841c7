// How a whole fleet's calls for the server list load discovery, in simulated time: the real decisions of N
// sidecars against a model of a discovery service that answers in turn and refuses what would wait too long.
// Neither threads nor sockets; the same figures in every run.
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
#include "rig.hpp"

namespace mothring::test {
namespace {

constexpr Millis kSecond = 1000;
constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

// Discovery as it was measured in a play with 350 sidecars.
constexpr Millis kPatience = 1 * kSecond;    // a call that would wait longer for its turn is refused
constexpr Millis kRefusalTakes = 25;         // from the call to its 503
constexpr double kRefusalCost = 1.0 / 21;    // of discovery's time, as a share of what an answer costs
constexpr double kMeasuredRound = 7.1;       // seconds that the answers to a whole fleet take
constexpr Millis kToldAfter = 6 * kSecond;   // from the first failed call of a run of failures
constexpr Millis kAskWithin = 10 * kSecond;  // Settings::resubscribe_within

// What a simulation may take at most.
constexpr Millis kLongestRun = 300 * kSecond;
constexpr std::size_t kMostEvents = 10'000'000;

constexpr ServerId kServers = 4;  // on the list that every sidecar holds from before

/// The time from `from` on and before `until`.
struct Interval {
    Millis from = 0;
    Millis until = 0;

    bool contains(Millis at) const { return at >= from && at < until; }
};

/// A discovery service that takes calls in turn, one at a time. Refusing a call costs it time as well, which
/// is added to the backlog without a bound. A watch that was answered once goes on at no cost.
class OverloadedDiscovery {
public:
    struct Reply {
        Millis at = 0;
        bool answered = false;  // else refused, by a 503
    };

    /// @param round  time that the answers to all `callers` take together
    /// @param down   while this lasts every call is refused, at no cost
    OverloadedDiscovery(std::size_t callers, Millis round, Interval down = {})
        : service_time_(round / static_cast<double>(callers)), down_(down) {}

    /// Takes a call. Calls must come in the order of their times.
    Reply call(Millis now) {
        const Reply refusal{now + kRefusalTakes, false};
        if (down_.contains(now)) return refusal;
        busy_until_ = std::max(busy_until_, now);
        const bool answered = busy_until_ - now <= kPatience;
        busy_until_ += answered ? service_time_ : service_time_ * kRefusalCost;
        return answered ? Reply{busy_until_, true} : refusal;
    }

private:
    Millis service_time_;
    Interval down_;
    Millis busy_until_ = 0;  // the backlog is what of this lies ahead
};

/// All sidecars of a fleet, started at time 0 with their calls to one discovery service. A call is out until
/// its reply comes, however late: the node's second call beside a late one is not modelled.
class Fleet {
public:
    Fleet(std::size_t size, OverloadedDiscovery discovery, std::uint64_t first_seed = 1)
        : discovery_(discovery) {
        Settings settings = make_settings();
        settings.must_subscribe = true;
        settings.fleet_size = static_cast<std::uint32_t>(size);
        settings.resubscribe_within = kAskWithin;
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
            give(next.sidecar, next.at, next.event);
        }
    }

    /// When the last of all sidecars was answered; kNever where one was not.
    Millis all_answered_at() const {
        Millis last = 0;
        for (const Sidecar& s : sidecars_) last = std::max(last, s.answered_at.value_or(kNever));
        return last;
    }
    std::size_t unanswered() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(sidecars_, [](const Sidecar& s) { return !s.answered_at; }));
    }

    /// The most calls that were offered in any span of this length (wherever it begins), of those made
    /// `during` this interval.
    std::size_t most_offered(Millis span, Interval during = {0, kNever}) const {
        const auto begin = std::ranges::lower_bound(calls_, during.from);
        const auto end = std::ranges::lower_bound(calls_, during.until);
        std::ptrdiff_t most = 0;
        for (auto first = begin, last = begin; last != end; ++last) {
            while (*last - *first >= span) ++first;
            most = std::max(most, last - first + 1);
        }
        return static_cast<std::size_t>(most);
    }

    /// The longest wait of a sidecar from the refusal of a call to its next call.
    Millis longest_wait() const { return longest_wait_; }
    std::size_t offered() const { return calls_.size(); }

    friend std::ostream& operator<<(std::ostream& out, const Fleet& fleet) {
        return out << "fleet of " << fleet.sidecars_.size() << ": all answered at " << fleet.all_answered_at()
                   << " ms, unanswered " << fleet.unanswered() << ", calls " << fleet.offered()
                   << ", most in a second " << fleet.most_offered(kSecond) << ", longest wait "
                   << fleet.longest_wait() << " ms";
    }

private:
    struct Sidecar {
        Balancer balancer;
        bool calling = false;                 // a call or the watch is out
        std::optional<Millis> told_at{};      // when what the list missed counts as known
        std::optional<Millis> refused_at{};   // when the last call ended, unless it was answered
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
        EndpointList saved;
        saved.kind = ListKind::cached;
        saved.servers = make_servers(kServers);
        schedule(sidecar, 0, std::move(saved));
    }

    void give(std::size_t sidecar, Millis now, const Event& event) {
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
        sidecar.refused_at = now;
    }

    void call(std::size_t index, Millis now) {
        Sidecar& sidecar = sidecars_[index];
        if (std::exchange(sidecar.calling, true)) return;
        calls_.push_back(now);
        if (sidecar.refused_at) longest_wait_ = std::max(longest_wait_, now - *sidecar.refused_at);
        const OverloadedDiscovery::Reply reply = discovery_.call(now);
        if (!reply.answered && !sidecar.told_at) sidecar.told_at = now + kToldAfter;
        EndpointList list;
        list.kind = reply.answered ? ListKind::incremental : ListKind::failed;
        if (!reply.answered) list.notified_within = *sidecar.told_at - reply.at;
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
void record(const Fleet& fleet) {
    std::ostringstream text;
    text << fleet;
    testing::Test::RecordProperty("measured", text.str());
}

/// A fleet that starts while discovery can take no call; after the outage a round takes it 5 s.
Fleet after_outage(std::size_t size, Millis outage) {
    Fleet fleet(size, OverloadedDiscovery(size, 5 * kSecond, Interval{0, outage}));
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
    static Fleet started(Millis round) {
        Fleet fleet(GetParam(), OverloadedDiscovery(GetParam(), round));
        fleet.run();
        record(fleet);
        return fleet;
    }
};
INSTANTIATE_TEST_SUITE_P(Fleets, DiscoveryLoad, testing::Values(20, 30, 350, 1024), fleet_name);

TEST_P(DiscoveryLoad, FleetStart_discoveryAnswersNInFiveSeconds_allAnsweredWithinBound) {
    const Fleet fleet = started(5 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), kToldAfter) << fleet;
}

TEST_P(DiscoveryLoad, FleetStart_discoveryAsMeasured_allAnsweredWithinTenSeconds) {
    const Fleet fleet = started(kMeasuredRound * kSecond);
    EXPECT_LE(fleet.all_answered_at(), 10 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, FleetStart_discoveryAsMeasured_noSecondWithMoreThanTwoCallsEach) {
    const Fleet fleet = started(kMeasuredRound * kSecond);
    EXPECT_LE(fleet.most_offered(kSecond), 2 * GetParam()) << fleet;
}

TEST_P(DiscoveryLoad, FleetStart_discoveryTenTimesSlower_noCollapse) {
    const Fleet fleet = started(70 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), 240 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, FleetStart_discoveryTenTimesSlower_callsThinOut) {
    const Fleet fleet = started(70 * kSecond);
    const std::size_t most = fleet.most_offered(kSecond, {30 * kSecond, kNever});
    RecordProperty("most_in_a_second_after_30_s", std::to_string(most));
    EXPECT_LE(most, GetParam() / 2) << fleet;
}

TEST_P(DiscoveryLoad, FleetStart_discoveryTenTimesFaster_allAnsweredWithinASecond) {
    const Fleet fleet = started(0.7 * kSecond);
    EXPECT_LE(fleet.all_answered_at(), 1 * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, OutageEnd_afterEightSeconds_allAnsweredWithinTenSeconds) {
    const Fleet fleet = after_outage(GetParam(), 8 * kSecond);
    record(fleet);
    EXPECT_LE(fleet.all_answered_at(), (8 + 10) * kSecond) << fleet;
}

TEST_P(DiscoveryLoad, OutageEnd_afterTwentySeconds_allAnsweredWithinTenSeconds) {
    const Fleet fleet = after_outage(GetParam(), 20 * kSecond);
    record(fleet);
    EXPECT_LE(fleet.all_answered_at(), (20 + 10) * kSecond) << fleet;
}

/// As above, for fleets large enough that a share of them in a short time tells more than chance.
class DiscoveryLoadOfMany : public testing::TestWithParam<std::size_t> {};
INSTANTIATE_TEST_SUITE_P(Fleets, DiscoveryLoadOfMany, testing::Values(350, 1024), fleet_name);

TEST_P(DiscoveryLoadOfMany, OutageEnd_firstSecondAfter_callsNotInStep) {
    constexpr Millis kSlot = 50;
    for (const Millis outage : {8 * kSecond, 20 * kSecond}) {
        const Fleet fleet = after_outage(GetParam(), outage);
        const std::size_t most = fleet.most_offered(kSlot, {outage, outage + kSecond});
        const std::string when = "after_" + std::to_string(static_cast<int>(outage)) + "_ms";
        RecordProperty("most_in_a_slot_" + when, std::to_string(most));
        EXPECT_GT(most, 0U) << when;
        EXPECT_LE(most, GetParam() / 5) << when << "; " << fleet;
    }
}

TEST(DiscoveryLoadOfFew, Outage_ofAMinute_noLongWaitBetweenCalls) {
    constexpr std::size_t kSize = 3;
    constexpr Millis kOutage = 60 * kSecond, kLongestWait = 1500;
    Millis longest = 0;
    for (std::uint64_t first_seed = 1; first_seed < 100; first_seed += kSize) {
        Fleet fleet(kSize, OverloadedDiscovery(kSize, 5 * kSecond, Interval{0, kOutage}), first_seed);
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
