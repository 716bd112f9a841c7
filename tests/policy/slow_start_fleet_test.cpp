/// @file
/// Rule 4 over a whole fleet: what all balancers together send to each server that is warming up, in every
/// window of the time in which it would be overloaded, against what it may be sent and what is put down to
/// chance.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

#include "support/simulated_fleet.hpp"

namespace mothring::test {
namespace {

constexpr std::size_t kUsualSizes[] = {20, 30, 350};
constexpr std::uint64_t kUsualSeeds = 2;
/// From a sidecar that has all traffic to itself to many with little of it each.
constexpr std::size_t kFewOrMany[] = {1, 2, 3, 8, 900};
/// Fleets of more sidecars than this are simulated for less time.
constexpr std::size_t kLargeFleet = 100;
constexpr Millis kTimeAfterRestartOfLargeFleet = 14000;
/// More is sent to servers that are warming up, or the run shows nothing.
constexpr std::size_t kLeastSent = 20;

void expect_no_overload_at(FleetScenario scenario, std::size_t balancers, std::uint64_t seed,
                           const char* what) {
    scenario.balancers = balancers;
    scenario.seed = seed;
    const SimulatedFleet fleet(std::move(scenario));
    const SimulatedFleet::Window worst = fleet.worst_window();
    const std::string run = std::to_string(balancers) + "_" + std::to_string(seed);
    testing::Test::RecordProperty("worst_" + run, std::to_string(worst.ratio));
    testing::Test::RecordProperty("sent_to_warming_up_" + run, std::to_string(fleet.sent_to_warming_up()));
    testing::Test::RecordProperty("completed_" + run, std::to_string(fleet.completed_share()));
    EXPECT_LE(worst.ratio, 1) << what << ", " << balancers << " balancers, seed " << seed << ": "
                              << worst.sent << " sent where " << worst.allowed << " may be, from "
                              << worst.from;
    EXPECT_GT(fleet.sent_to_warming_up(), kLeastSent) << "they are to be warmed too";
}

void expect_no_overload(FleetScenario scenario, const char* what) {
    constexpr std::size_t kLeastServers = 24;
    constexpr std::size_t kBalancersPerServer = 5;
    for (const std::size_t balancers : kUsualSizes)
        for (std::uint64_t seed = 1; seed <= kUsualSeeds; ++seed) {
            scenario.servers = std::max(kLeastServers, balancers / kBalancersPerServer);
            expect_no_overload_at(scenario, balancers, seed, what);
        }
}

// The traffic of the fleet is what its servers can do, so a sidecar of a large fleet sees little of it.
void expect_no_overload_of_few_or_many(FleetScenario scenario, const char* what) {
    scenario.allowance_by_terms = true;
    for (const std::size_t balancers : kFewOrMany) {
        if (balancers > kLargeFleet)
            scenario.length = std::min(scenario.length, scenario.restarts_at + kTimeAfterRestartOfLargeFleet);
        expect_no_overload_at(scenario, balancers, 1, what);
    }
}

void expect_no_overload_of_any_kind(const FleetScenario& scenario, const char* what) {
    for (const std::size_t balancers : {1, 3, 60, 175, 900})
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            expect_no_overload_at(scenario, balancers, seed, what);
}

bool is_any(std::size_t) { return true; }
bool is_every_second(std::size_t server) { return server % 2 == 0; }
bool is_of_first_three(std::size_t server) { return server < 3; }

FleetScenario half_of_the_servers_start() {
    FleetScenario scenario;
    scenario.restarts = is_every_second;
    return scenario;
}

FleetScenario all_servers_start() {
    FleetScenario scenario;
    scenario.restarts = is_any;
    return scenario;
}

// The slow ones start among fast ones that stay warm: their part is that of their kind.
FleetScenario slow_servers_start_among_fast_ones() {
    FleetScenario scenario;
    scenario.slow_share = 0.5;
    scenario.load = 0.8;
    scenario.restarts = is_of_first_three;
    return scenario;
}

// No more may be sent than a server can do.
void allow_just_the_capacity(Settings& settings) {
    settings.overload_multiple = 1;
    settings.overload_window = 1000;
    settings.slow_start_min_capacity = 0.1;
}

TEST(SlowStartFleet, OneServerStartsUnderSteadyTraffic) { expect_no_overload({}, "steady"); }

TEST(SlowStartFleet, HalfOfTheServersStart) { expect_no_overload(half_of_the_servers_start(), "half"); }

TEST(SlowStartFleet, AllServersStartAtOnce) { expect_no_overload(all_servers_start(), "all"); }

TEST(SlowStartFleet, SlowServersStartAmongFastOnes) {
    expect_no_overload(slow_servers_start_among_fast_ones(), "slow");
}

// What idle balancers have saved up must not all be spent as the traffic comes back.
TEST(SlowStartFleet, TrafficComesBackInABurst) {
    FleetScenario scenario;
    scenario.load = 0.35;
    scenario.demand = [](Millis now) {
        if (now < 22000) return 1.0;
        if (now < 32000) return 0.03;
        if (now < 34000) return 2.0;
        return 0.5;
    };
    expect_no_overload(scenario, "burst");
}

TEST(SlowStartFleet, BurstsEveryFewSeconds) {
    FleetScenario scenario;
    scenario.load = 0.4;
    scenario.demand = [](Millis now) { return std::fmod(now, 5000) < 800 ? 2.2 : 0.15; };
    expect_no_overload(scenario, "bursts");
}

// Limits that leave less: a smaller multiple, over a shorter time, from colder on.
TEST(SlowStartFleet, StricterLimits) {
    FleetScenario scenario;
    scenario.slow_share = 0.5;
    scenario.load = 0.7;
    scenario.adjust_settings = [](Settings& settings) {
        settings.overload_multiple = 2;
        settings.overload_window = 1500;
        settings.slow_start_min_capacity = 0.1;
    };
    scenario.restarts = is_of_first_three;
    expect_no_overload(scenario, "steady");
    scenario.load = 0.35;
    scenario.demand = [](Millis now) {
        if (now < 18000) return 1.0;
        if (now < 21000) return 0.0;
        if (now < 23000) return 2.0;
        return 0.5;
    };
    expect_no_overload(scenario, "burst");
}

// The measure is what a warm server of the same kind does, not the mean of all.
TEST(SlowStartFleet, SlowServersAreOverloadedAtJustTheirCapacity) {
    FleetScenario scenario = slow_servers_start_among_fast_ones();
    scenario.adjust_settings = allow_just_the_capacity;
    expect_no_overload(scenario, "slow");
}

// New processes know nothing of what the old ones sent.
TEST(SlowStartFleet, AllBalancersRestartDuringAWarmUp) {
    FleetScenario scenario;
    scenario.balancers_restart_at = 22500;
    expect_no_overload(scenario, "restart");
}

TEST(SlowStartFleetOfAnySize, OneServerStarts) { expect_no_overload_of_few_or_many({}, "steady"); }

TEST(SlowStartFleetOfAnySize, HalfOfTheServersStart) {
    expect_no_overload_of_few_or_many(half_of_the_servers_start(), "half");
}

TEST(SlowStartFleetOfAnySize, AllServersStart) {
    expect_no_overload_of_few_or_many(all_servers_start(), "all");
}

TEST(SlowStartFleetOfAnySize, TrafficStopsDuringAWarmUpAndComesBackInABurst) {
    FleetScenario scenario;
    scenario.load = 0.9;
    scenario.demand = [](Millis now) {
        if (now < 21000) return 1.0;
        if (now < 29000) return 0.0;
        if (now < 32000) return 2.0;
        return 0.5;
    };
    expect_no_overload_of_few_or_many(scenario, "burst");
}

// A long quiet time first: what little each may always send has added up when all ask at once.
TEST(SlowStartFleetOfAnySize, QuietFromBeforeTheStartThenABurst) {
    FleetScenario scenario;
    scenario.load = 0.9;
    scenario.restarts = is_every_second;
    scenario.demand = [](Millis now) {
        if (now < 10000) return 0.5;
        if (now < 30000) return 0.0;
        if (now < 32000) return 3.0;
        return 0.5;
    };
    expect_no_overload_of_few_or_many(scenario, "quiet");
}

TEST(SlowStartFleetOfAnySize, OneSidecarHasMostOfTheTraffic) {
    FleetScenario scenario;
    scenario.load = 0.8;
    scenario.restarts = is_of_first_three;
    scenario.largest_share = 0.8;
    scenario.allowance_by_terms = true;
    for (const std::size_t balancers : {2, 3, 8, 350})
        expect_no_overload_at(scenario, balancers, 1, "uneven");
}

// Small servers, held to little over a short time.
TEST(SlowStartFleetOfAnySize, LimitsOfAFewRequests) {
    FleetScenario scenario;
    scenario.cores = 1;
    scenario.load = 0.8;
    scenario.adjust_settings = [](Settings& settings) {
        settings.overload_multiple = 1.5;
        settings.overload_window = 1000;
        settings.slow_start_min_capacity = 0.05;
    };
    scenario.restarts = is_every_second;
    expect_no_overload_of_few_or_many(scenario, "steady");
    scenario.demand = [](Millis now) {
        if (now < 21000) return 1.0;
        if (now < 24000) return 0.0;
        if (now < 26000) return 2.5;
        return 0.5;
    };
    expect_no_overload_of_few_or_many(scenario, "burst");
}

// Nothing to spare: a server is overloaded at just what it can do.
TEST(SlowStartFleetOfAnySize, ServersAreOverloadedAtJustTheirCapacity) {
    FleetScenario scenario;
    scenario.load = 0.9;
    scenario.adjust_settings = allow_just_the_capacity;
    scenario.restarts = is_of_first_three;
    expect_no_overload_of_few_or_many(scenario, "at capacity");
}

// The only slow machine starts: no warm one of its kind shows what they do, and the warm rest does several
// times as much. Then a burst.
FleetScenario the_only_slow_server_starts() {
    FleetScenario scenario;
    scenario.allowance_by_terms = true;
    scenario.servers = 4;
    scenario.cores = 4;
    scenario.load = 0.96;
    scenario.skew = 0.1;
    scenario.slow_share = 0.25;
    scenario.slow_pace = 0.4;
    scenario.adjust_settings = [](Settings& settings) {
        settings.slow_start_min_capacity = 0.25;
        settings.slow_start_window = 18500;
    };
    scenario.demand = [](Millis now) {
        if (now < 15700) return 1.0;
        if (now < 16200) return 0.1;
        if (now < 18700) return 3.9;
        return 0.7;
    };
    scenario.restarts_at = 12000;
    scenario.length = 25000;
    return scenario;
}

TEST(SlowStartFleetOfAnySize, TheOnlySlowServerStarts) {
    expect_no_overload_of_any_kind(the_only_slow_server_starts(), "slow");
}

// To new processes that kind has never been warm.
TEST(SlowStartFleetOfAnySize, TheOnlySlowServerStartsAndAllBalancersToo) {
    FleetScenario scenario = the_only_slow_server_starts();
    scenario.balancers_restart_at = 12500;
    expect_no_overload_of_any_kind(scenario, "slow, new balancers");
}

// New processes every few seconds, each with buckets at a random depth.
TEST(SlowStartFleetOfAnySize, AllBalancersRestartAgainAndAgain) {
    FleetScenario scenario;
    scenario.restarts = is_every_second;
    scenario.balancers_restart_at = 21500;
    scenario.balancer_restarts = 5;
    expect_no_overload_of_few_or_many(scenario, "restarts");
}

// Many small servers for each sidecar, each of which sees little traffic.
TEST(SlowStartFleetOfAnySize, ThinTrafficOfManySidecars) {
    FleetScenario scenario;
    scenario.allowance_by_terms = true;
    scenario.cores = 1;
    scenario.load = 0.3;
    scenario.restarts_at = 6000;
    scenario.length = 15000;
    scenario.restarts = [](std::size_t server) { return server % 4 == 0; };
    scenario.servers = 200;
    expect_no_overload_at(scenario, 900, 1, "200 servers");
    scenario.servers = 640;  // 3,200 for 900 sidecars
    expect_no_overload_at(scenario, 180, 1, "640 servers");
}

}  // namespace
}  // namespace mothring::test
