/// @file
/// Tests with steps of the wall clock, of this machine or of all, while the monotonic clock continues: the
/// start times that servers report must be dated correctly, and no span of time may depend on a wall clock.
#include <cmath>

#include "net_rig.hpp"

namespace mothring::node::test {
namespace {

constexpr Millis kSecond = 1000, kHour = 3600 * kSecond;

/// Returns a list as discovery sends it, in which each server's `started_ms` is the given JSON.
std::string started_list(int version, bool full,
                         const std::vector<std::pair<ListedServer, std::string>>& servers) {
    std::string text = list_json(version, full, {});
    const std::size_t end = text.rfind("]}");
    std::string entries;
    for (const auto& [server, started] : servers) {
        const std::string one = list_json(1, true, {server});
        const std::size_t from = one.find("{\"id\""), to = one.rfind("]}");
        if (!entries.empty()) entries += ",";
        entries +=
            replace_first(one.substr(from, to - from), "\"started_ms\":0", "\"started_ms\":" + started);
    }
    return text.insert(end, entries);
}
std::string written_ms(Millis at) { return std::to_string(static_cast<std::int64_t>(at)); }

/// Runs a sidecar whose wall clock the test steps. Server a started long ago.
struct ClockStepRig : NetRig {
    /// The sum of the steps of this machine's wall clock.
    Millis step = 0;
    Millis slow_start_window = 20 * kSecond;

    /// Sends many more requests than a cold server may get, and returns whether b gets the share of a warm
    /// one. A warm server gets about half of them, as the choice is random; a cold one only its initial
    /// token.
    bool b_is_warm() {
        const std::size_t before = b.requests.size();
        TestClient& application = client();
        for (std::size_t i = 0; i < 40; ++i) {
            application.send(request("listen", "r" + std::to_string(next_request++)));
            until([&] { return application.answers.size() > i; });
        }
        const std::size_t served_by_b = b.requests.size() - before;
        EXPECT_TRUE(served_by_b <= 3 || served_by_b >= 10) << served_by_b;
        return served_by_b >= 10;
    }
    void start_stepped(const std::string& known) {
        std::string text = config_json(agent.address(), known);
        text = replace_first(text, "\"warm-within-ms\":20000.0",
                             "\"warm-within-ms\":" + written_ms(slow_start_window));
        config::Config config = config::read_config(text);
        config.read_wall_clock = [this] { return net::read_system_clock() + step; };
        sidecar.emplace(io, std::move(config));
    }
    void start_with_warm_a() { start_stepped(started_list(41, true, {{listed_a, "0"}})); }
    /// Answers the call in flight to discovery, and waits until the sidecar has applied the list.
    void answer_watch(const std::string& list) {
        until([&] { return !agent.requests.empty() && agent.requests.size() > answered; });
        answered = agent.requests.size();
        send_list(list);
        until([&] { return agent.requests.size() > answered; });
    }
    /// Returns the wall-clock time of the servers and of discovery.
    /// @param stepped  their clocks have been stepped too.
    Millis wall(bool stepped = true) const { return net::read_system_clock() + (stepped ? step : 0); }
    std::string b_started(int version, Millis at) {
        return started_list(version, false, {{listed_b, written_ms(at)}});
    }
    void wait_for(Millis length) {
        const auto end = std::chrono::steady_clock::now() + net::to_duration(length);
        until([&] { return std::chrono::steady_clock::now() >= end; });
    }

    /// Ejects b by failures in every request class, as outliers are detected per class.
    void eject_b() {
        b.script = [](const auto&) { return Reply{response("500 Internal Server Error")}; };
        const std::vector<std::string> classes{"listen", "annotate", "deposit"};
        TestClient& application = client();
        for (std::size_t i = 0; i < 200 && sidecar->gauges().unavailable == 0; ++i) {
            application.send(request(classes[i % classes.size()], "e" + std::to_string(i)));
            until([&] { return application.answers.size() > i; });
        }
        ASSERT_EQ(sidecar->gauges().unavailable, 1U);
    }

    ListedServer listed_a{"s-a", a.address()}, listed_b{"s-b", b.address()};
    std::size_t answered = 0;
    int next_request = 0;
};

/// A step (ms) of the wall clock, of all machines or only of this one.
struct StepCase {
    Millis step;
    bool everywhere;
    friend std::ostream& operator<<(std::ostream& out, const StepCase& c) {
        return out << c.step << (c.everywhere ? " everywhere" : " here");
    }
};
struct ClockSteps : ClockStepRig, testing::WithParamInterface<StepCase> {};
std::string name_of(const testing::TestParamInfo<StepCase>& test) {
    const auto& [step, everywhere] = test.param;
    return std::string(step < 0 ? "Back" : "Forward") + written_ms(std::abs(step) / kSecond) + "sOf" +
           (everywhere ? "AllMachines" : "ThisMachine");
}
INSTANTIATE_TEST_SUITE_P(Each, ClockSteps,
                         testing::Values(StepCase{-kHour, true}, StepCase{-kHour, false},
                                         StepCase{-25 * kSecond, true}, StepCase{-25 * kSecond, false},
                                         StepCase{25 * kSecond, true}, StepCase{25 * kSecond, false},
                                         StepCase{kHour, true}, StepCase{kHour, false}),
                         name_of);

TEST_P(ClockSteps, ServerStartedBeforeAndListedAfterTheStepIsSlowStarted) {
    start_with_warm_a();
    answer_watch(list_json(42, false, {}));
    const Millis started = wall();
    step = GetParam().step;
    answer_watch(b_started(43, started));
    EXPECT_FALSE(b_is_warm());
}

TEST_P(ClockSteps, ServerStartedAfterTheStepWarmsUpInRealTime) {
    slow_start_window = 800;
    start_with_warm_a();
    answer_watch(list_json(42, false, {}));
    step = GetParam().step;
    answer_watch(b_started(43, wall(GetParam().everywhere)));
    EXPECT_FALSE(b_is_warm());
    wait_for(slow_start_window);
    EXPECT_TRUE(b_is_warm());
}

TEST_P(ClockSteps, ServerListedBeforeTheStepKeepsItsWarmUp) {
    slow_start_window = 800;
    start_with_warm_a();
    answer_watch(list_json(42, false, {}));
    const Millis started = wall();
    answer_watch(b_started(43, started));
    step = GetParam().step;
    answer_watch(started_list(44, true, {{listed_a, "0"}, {listed_b, written_ms(started)}}));
    EXPECT_FALSE(b_is_warm());
    wait_for(slow_start_window);
    answer_watch(started_list(45, true, {{listed_a, "0"}, {listed_b, written_ms(started)}}));
    EXPECT_TRUE(b_is_warm());
}

TEST_P(ClockSteps, ServerInTheFirstResponseAfterTheStepIsSlowStarted) {
    start_with_warm_a();
    step = GetParam().step;
    answer_watch(
        started_list(42, true, {{listed_a, "0"}, {listed_b, written_ms(wall(GetParam().everywhere))}}));
    EXPECT_FALSE(b_is_warm());
}

// The clock of the server's machine may be an hour behind, or may have been stepped before this process
// started. The reported start then makes a cold server appear warm.
TEST_F(ClockStepRig, ServerAddedToAWatchedListIsNoOlderThanTheLastResponse) {
    start_with_warm_a();
    answer_watch(list_json(42, false, {}));
    answer_watch(b_started(43, wall() - kHour));
    EXPECT_FALSE(b_is_warm());
}

TEST_F(ClockStepRig, ServerListedAgainWithTheSameStartKeepsItsAge) {
    start_with_warm_a();
    const Millis started = wall() - kHour;
    answer_watch(started_list(42, true, {{listed_a, "0"}, {listed_b, written_ms(started)}}));
    answer_watch(started_list(43, true, {{listed_a, "0"}}));
    answer_watch(started_list(44, true, {{listed_a, "0"}, {listed_b, written_ms(started)}}));
    EXPECT_TRUE(b_is_warm());
}

// Discovery at the new address has a list of its own, so its first response may name servers that started
// long ago.
TEST_F(ClockStepRig, FirstResponseFromANewDiscoveryAddressDoesNotBoundAges) {
    start_with_warm_a();
    answer_watch(list_json(42, false, {}));
    ScriptedServer other(io, silence);
    config::Config config = config::read_config(config_json(other.address(), list_json(41, true, {})));
    sidecar->reconfigure(config);
    until([&] { return other.requests.size() == 1; });
    other.send(0, response("200 OK", b_started(43, wall() - kHour)));
    until([&] { return other.requests.size() == 2; });
    EXPECT_TRUE(b_is_warm());
}

TEST_F(ClockStepRig, ServerRestartAfterAStepBackClearsItsEjection) {
    start_stepped(started_list(41, true, {{listed_a, "0"}, {listed_b, written_ms(wall() - 2 * kHour)}}));
    answer_watch(list_json(42, false, {}));
    eject_b();
    step = -3 * kHour;
    answer_watch(b_started(43, wall()));
    EXPECT_EQ(sidecar->gauges().unavailable, 0U);
    b.script = serve;
    EXPECT_FALSE(b_is_warm());
}

// ---- Spans of time

/// Steps the wall clock by an hour while a span of time runs.
struct StepDuringATimeSpan : ClockStepRig, testing::WithParamInterface<Millis> {
    /// Sends a request, steps the clock, and returns the time (ms) until the response, which must have the
    /// status.
    Millis time_to_response(unsigned status, const std::string& bytes) {
        const auto began = std::chrono::steady_clock::now();
        TestClient& application = client();
        application.send(bytes);
        until([&] { return sidecar->request_count() == 1; });
        step = GetParam();
        until([&] { return !application.answers.empty(); });
        EXPECT_EQ(application.answers.at(0).result_int(), status);
        return net::millis(std::chrono::steady_clock::now() - began);
    }
};
INSTANTIATE_TEST_SUITE_P(Each, StepDuringATimeSpan, testing::Values(-kHour, kHour));

TEST_P(StepDuringATimeSpan, DeadlineExpiresInRealTime) {
    start_with_warm_a();
    a.script = silence;
    const Millis time = time_to_response(503, request("listen", "r1", 300));
    EXPECT_GE(time, 300);
    EXPECT_LT(time, 1300);
}

TEST_P(StepDuringATimeSpan, RequestHeldWithoutActiveServersIsRejectedInRealTime) {
    listed_a.state = "Terminating";
    start_with_warm_a();
    const Millis time = time_to_response(503, request("listen", "r1"));
    EXPECT_GE(time, 25);  // a sixteenth of the latency objective
    EXPECT_LT(time, 1025);
}

TEST_P(StepDuringATimeSpan, EjectionContinues) {
    start_stepped(started_list(41, true, {{listed_a, "0"}, {listed_b, "0"}}));
    eject_b();
    const std::size_t before = b.requests.size();
    step = GetParam();
    TestClient& application = client();
    for (std::size_t i = 0; i < 20; ++i) {
        application.send(request("listen", std::to_string(i)));
        until([&] { return application.answers.size() > i; });
    }
    EXPECT_EQ(sidecar->gauges().unavailable, 1U);
    EXPECT_EQ(b.requests.size(), before);
}

// ---- ServerStartTimes

/// A time on the sidecar's time line.
constexpr Millis kNow = 1'800'000'000'000;
using Moment = ServerStartTimes::Moment;

Moment unwatched(Millis now, Millis step = 0) { return {now, now + step, {}}; }
Moment watched(Millis now, Millis since_response, Millis step = 0) {
    return {now, now + step, since_response};
}

TEST(ServerStartTimes, StepsAfterTheFirstListingDoNotChangeTheStart) {
    ServerStartTimes times;
    EXPECT_EQ(times.start_of("s", kNow - 300, unwatched(kNow)).at, kNow - 300);
    for (const Millis step : {-kHour, -5 * kSecond, 5 * kSecond, kHour}) {
        EXPECT_EQ(times.start_of("s", kNow - 300, unwatched(kNow + 10, step)).at, kNow - 300);
        EXPECT_EQ(times.start_of("s", kNow - 300, watched(kNow + 10, 1, step)).at, kNow - 300);
    }
}

TEST(ServerStartTimes, UsesTheLesserAgeOfTheTwoClocks) {
    ServerStartTimes times;
    const Millis forward = 5 * kSecond;
    EXPECT_EQ(times.start_of("of this machine", kNow - 300, unwatched(kNow, forward)).at, kNow - 300);
    const auto of_all = times.start_of("of all", kNow + forward - 300, unwatched(kNow, forward));
    EXPECT_EQ(of_all.at, kNow);
    EXPECT_TRUE(of_all.is_dated);
    EXPECT_EQ(times.start_of("of all, back", kNow - forward - 300, unwatched(kNow, -forward)).at, kNow - 300);
}

TEST(ServerStartTimes, ReportChangedInEitherDirectionIsALaterStart) {
    ServerStartTimes times;
    Millis before = times.start_of("s", kNow - 2 * kHour, unwatched(kNow)).at;
    for (const Millis reported : {kNow - kHour, kNow - 3 * kHour, -5.0, kNow + kHour, kNow - kHour, kNow}) {
        const Millis at = times.start_of("s", reported, watched(kNow, 20)).at;
        EXPECT_GT(at, before);
        EXPECT_GE(at, kNow - 20);
        before = at;
    }
}

TEST(ServerStartTimes, ZeroMeansLongAgoAndNoRestart) {
    ServerStartTimes times;
    EXPECT_EQ(times.start_of("s", 0, watched(kNow, 20)).at, 0);
    EXPECT_EQ(times.start_of("s", kNow, watched(kNow, 20)).at, kNow);
    EXPECT_EQ(times.start_of("s", 0, watched(kNow + 100, 20)).at, kNow);
}

TEST(ServerStartTimes, StartBeforeThatOfTheCachedListCountsAsJustNow) {
    ServerStartTimes times;
    times.start_of("s", kNow - kHour, unwatched(kNow - 10));
    const auto start = times.start_of("s", kNow - 2 * kHour, unwatched(kNow));
    EXPECT_EQ(start.at, kNow);
    EXPECT_FALSE(start.is_dated);
}

TEST(ServerStartTimes, ImplausibleStartCountsAsJustNowAndIsReportedOnce) {
    for (const Millis wrong :
         {-5.0, 1e300, -1e300, std::nan(""), HUGE_VAL, kNow + kHour, config::kUnreadableStart}) {
        ServerStartTimes times;
        const auto first = times.start_of("s", wrong, unwatched(kNow));
        EXPECT_EQ(first.at, kNow) << wrong;
        EXPECT_TRUE(!first.is_dated && first.has_changed) << wrong;
        const auto again = times.start_of("s", wrong, watched(kNow + 1, 20));
        EXPECT_TRUE(again.at == kNow && !again.has_changed) << wrong;
        // Another implausible report is not a change.
        EXPECT_FALSE(times.start_of("s", -7, watched(kNow + 2, 20)).has_changed) << wrong;
        const auto right = times.start_of("s", kNow, watched(kNow + 3, 20));
        EXPECT_TRUE(right.is_dated && right.has_changed) << wrong;
    }
}

TEST(ServerStartTimes, StartAFewMillisecondsAheadIsAccepted) {
    ServerStartTimes times;
    const auto start = times.start_of("s", kNow + 3, unwatched(kNow));
    EXPECT_EQ(start.at, kNow);
    EXPECT_TRUE(start.is_dated && !start.has_changed);
}

TEST(ServerStartTimes, KeepsUnlistedServersForTenMinutes) {
    ServerStartTimes times;
    times.start_of("back in time", kNow - kHour, unwatched(kNow));
    times.start_of("gone", kNow - kHour, unwatched(kNow));
    times.on_unlisted("back in time", kNow);
    times.on_unlisted("gone", kNow);
    times.on_unlisted("never listed", kNow);
    EXPECT_EQ(times.start_of("back in time", kNow - kHour, watched(kNow + 500 * kSecond, 20)).at,
              kNow - kHour);
    EXPECT_EQ(times.size(), 2U);
    times.on_unlisted("another", kNow + 601 * kSecond);
    EXPECT_EQ(times.size(), 1U);
}

// ---- Unreadable starts

struct UnreadableStarts : ClockStepRig, testing::WithParamInterface<const char*> {};
INSTANTIATE_TEST_SUITE_P(Each, UnreadableStarts,
                         testing::Values("-5", "1e300", "-1e300", "1e999", "-1E+400", "null", "\"noon\"",
                                         "true", "[1]", "{}"));

TEST_P(UnreadableStarts, CountAsJustNowAndTheOtherEntriesAreApplied) {
    start_with_warm_a();
    answer_watch(list_json(42, false, {}));
    ScriptedServer c(io, serve);
    answer_watch(started_list(43, false, {{listed_b, GetParam()}, {{"s-c", c.address()}, "0"}}));
    EXPECT_FALSE(b_is_warm());
    EXPECT_GE(c.requests.size(), 10U);
    EXPECT_TRUE(is_watched_from("43"));
}

TEST_P(UnreadableStarts, InTheCachedListDoNotPreventServing) {
    start_stepped(started_list(41, true, {{listed_a, "0"}, {listed_b, GetParam()}}));
    EXPECT_FALSE(b_is_warm());
}

}  // namespace
}  // namespace mothring::node::test
