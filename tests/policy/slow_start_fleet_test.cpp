/// @file
/// The platform requires that a server that is warming up is not overloaded. These tests simulate whole
/// fleets and compare, for every window of Settings::overload_window, the number of requests that all
/// balancers together send to such a server with the number it can take plus an allowance for chance.
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
/// Fleets from one sidecar with all the traffic to many sidecars with little traffic each.
constexpr std::size_t kFewOrMany[] = {1, 2, 3, 8, 900};
/// Fleets of more sidecars than this are simulated for a shorter time, to limit the time that the tests take.
constexpr std::size_t kLargeFleet = 100;
constexpr Millis kTimeAfterRestartOfLargeFleet = 14000;
/// A run must send more requests than this to servers that are warming up; with fewer it proves nothing.
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
                              << worst.sent << " requests sent, " << worst.allowed
                              << " allowed; start of the window in ms: " << worst.from;
    EXPECT_GT(fleet.sent_to_warming_up(), kLeastSent) << "servers that are warming up need requests too";
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

// The fleet's traffic follows from the capacity of the servers, so each sidecar of a large fleet has little
// of it.
void expect_no_overload_of_few_or_many(FleetScenario scenario, const char* what) {
    scenario.wider_allowance_below_30 = true;
    for (const std::size_t balancers : kFewOrMany) {
        if (balancers > kLargeFleet)
            scenario.length = std::min(scenario.length, scenario.restarts_at + kTimeAfterRestartOfLargeFleet);
        expect_no_overload_at(scenario, balancers, 1, what);
    }
}

void expect_no_overload_at_any_size(const FleetScenario& scenario, const char* what) {
    for (const std::size_t balancers : {1, 3, 60, 175, 900})
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            expect_no_overload_at(scenario, balancers, seed, what);
}

bool is_any(std::size_t) { return true; }
bool is_every_second(std::size_t server) { return server % 2 == 0; }
bool is_of_first_three(std::size_t server) { return server < 3; }

FleetScenario half_of_the_servers_restart() {
    FleetScenario scenario;
    scenario.restarts = is_every_second;
    return scenario;
}

FleetScenario all_servers_restart() {
    FleetScenario scenario;
    scenario.restarts = is_any;
    return scenario;
}

// Half of the servers are slow, and only slow ones restart. They may be sent as much as their own kind of
// machine can take, which is less than the fast servers take.
FleetScenario slow_servers_restart_among_fast_ones() {
    FleetScenario scenario;
    scenario.slow_share = 0.5;
    scenario.load = 0.8;
    scenario.restarts = is_of_first_three;
    return scenario;
}

// Sets limits at which a server is overloaded by any request beyond its capacity.
void allow_no_more_than_capacity(Settings& settings) {
    settings.overload_multiple = 1;
    settings.overload_window = 1000;
    settings.slow_start_min_capacity = 0.1;
}

TEST(SlowStartFleet, OneServerRestartsUnderSteadyTraffic) { expect_no_overload({}, "steady"); }

TEST(SlowStartFleet, HalfOfTheServersRestart) { expect_no_overload(half_of_the_servers_restart(), "half"); }

TEST(SlowStartFleet, AllServersRestartAtOnce) { expect_no_overload(all_servers_restart(), "all"); }

TEST(SlowStartFleet, SlowServersRestartAmongFastOnes) {
    expect_no_overload(slow_servers_restart_among_fast_ones(), "slow");
}

// The token buckets of all balancers fill while there is little traffic. If all of them were spent when the
// traffic returns, the server would be overloaded.
TEST(SlowStartFleet, TrafficReturnsInABurst) {
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

// The limits leave less room for error: a smaller overload multiple, a shorter window and a lower capacity
// right after the start.
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

// The capacity of a slow server must be estimated from warm servers of the same kind. The mean of all servers
// is higher and would overload it.
TEST(SlowStartFleet, SlowServersWithoutSpareCapacity) {
    FleetScenario scenario = slow_servers_restart_among_fast_ones();
    scenario.adjust_settings = allow_no_more_than_capacity;
    expect_no_overload(scenario, "slow");
}

// Restarted balancers don't know how many requests their earlier processes have sent to the server.
TEST(SlowStartFleet, AllBalancersRestartDuringAWarmUp) {
    FleetScenario scenario;
    scenario.balancers_restart_at = 22500;
    expect_no_overload(scenario, "restart");
}

TEST(SlowStartFleetOfAnySize, OneServerRestarts) { expect_no_overload_of_few_or_many({}, "steady"); }

TEST(SlowStartFleetOfAnySize, HalfOfTheServersRestart) {
    expect_no_overload_of_few_or_many(half_of_the_servers_restart(), "half");
}

TEST(SlowStartFleetOfAnySize, AllServersRestart) {
    expect_no_overload_of_few_or_many(all_servers_restart(), "all");
}

TEST(SlowStartFleetOfAnySize, TrafficStopsDuringAWarmUpAndReturnsInABurst) {
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

// Each balancer may always send a small share of attempts. During a long time without traffic these add up in
// all balancers, and the burst lets all of them send at once.
TEST(SlowStartFleetOfAnySize, TrafficStopsBeforeTheRestartAndReturnsInABurst) {
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
    scenario.wider_allowance_below_30 = true;
    for (const std::size_t balancers : {2, 3, 8, 350})
        expect_no_overload_at(scenario, balancers, 1, "uneven");
}

// Servers with one core, a low overload multiple and a short window: each window allows only a few requests.
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

TEST(SlowStartFleetOfAnySize, ServersWithoutSpareCapacity) {
    FleetScenario scenario;
    scenario.load = 0.9;
    scenario.adjust_settings = allow_no_more_than_capacity;
    scenario.restarts = is_of_first_three;
    expect_no_overload_of_few_or_many(scenario, "at capacity");
}

// The only slow server restarts, followed by a burst of traffic. No warm server of its kind is left to
// estimate its capacity from, and the warm fast servers complete several times as many requests as it can.
FleetScenario the_only_slow_server_restarts() {
    FleetScenario scenario;
    scenario.wider_allowance_below_30 = true;
    scenario.servers = 4;
    scenario.cores = 4;
    scenario.load = 0.96;
    scenario.skew = 0.1;
    scenario.slow_share = 0.25;
    scenario.slow_speed = 0.4;
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

TEST(SlowStartFleetOfAnySize, TheOnlySlowServerRestarts) {
    expect_no_overload_at_any_size(the_only_slow_server_restarts(), "slow");
}

// The restarted balancers have never seen a warm server of the slow kind.
TEST(SlowStartFleetOfAnySize, TheOnlySlowServerAndAllBalancersRestart) {
    FleetScenario scenario = the_only_slow_server_restarts();
    scenario.balancers_restart_at = 12500;
    expect_no_overload_at_any_size(scenario, "slow, new balancers");
}

// All balancers restart every few seconds, and each new process starts with token buckets at a random level.
TEST(SlowStartFleetOfAnySize, AllBalancersRestartRepeatedly) {
    FleetScenario scenario;
    scenario.restarts = is_every_second;
    scenario.balancers_restart_at = 21500;
    scenario.balancer_restarts = 5;
    expect_no_overload_of_few_or_many(scenario, "restarts");
}

// Many small servers and many sidecars: each sidecar sends little traffic to each server.
TEST(SlowStartFleetOfAnySize, LittleTrafficFromManySidecars) {
    FleetScenario scenario;
    scenario.wider_allowance_below_30 = true;
    scenario.cores = 1;
    scenario.load = 0.3;
    scenario.restarts_at = 6000;
    scenario.length = 15000;
    scenario.restarts = [](std::size_t server) { return server % 4 == 0; };
    scenario.servers = 200;
    expect_no_overload_at(scenario, 900, 1, "200 servers");
    scenario.servers = 640;  // the ratio of 3,200 servers to 900 sidecars
    expect_no_overload_at(scenario, 180, 1, "640 servers");
}

}  // namespace
}  // namespace mothring::test
