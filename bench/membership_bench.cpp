// Measures the membership in simulated fleets (Google Benchmark): time to detect a killed member, time to
// disseminate an update, false deaths under loss, and bytes sent per member. Counters are in the units that
// their names state; `periods` are protocol periods. One iteration is one fleet with its own seed.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "lab/fleet_sim.hpp"

namespace {

using mothring::Millis;
using mothring::lab::FleetSim;

const mothring::cluster::Parameters parameters;
constexpr double kPeriod = 1000;

double at_share(std::vector<double> values, double share) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(std::lround(share * static_cast<double>(values.size() - 1)))];
}

std::uint64_t seed_of(const benchmark::State& state, std::uint64_t iteration) {
    return static_cast<std::uint64_t>(state.range(0)) * 1000 + iteration;
}

// Measures the time from a kill until each other member declares the killed member dead.
void detection(benchmark::State& state) {
    const auto members = static_cast<std::size_t>(state.range(0));
    std::vector<double> after, first_suspicion;
    std::uint64_t iteration = 0;
    for (auto _ : state) {
        FleetSim fleet(members, parameters, static_cast<double>(state.range(1)) / 100,
                       seed_of(state, ++iteration));
        fleet.run(30 * kPeriod);
        const Millis killed = fleet.now();
        const std::size_t victim = members / 2;
        fleet.kill(victim);
        fleet.run(60 * kPeriod);
        std::set<std::size_t> observers;
        double suspected = -1;
        for (const auto& s : fleet.seen) {
            if (s.at < killed || s.change.name != FleetSim::name(victim)) continue;
            if (s.change.what == "suspect" && suspected < 0) suspected = s.at - killed;
            if (s.change.what == "dead" && observers.insert(s.observer).second)
                after.push_back((s.at - killed) / kPeriod);
        }
        first_suspicion.push_back(suspected / kPeriod);
        if (observers.size() != members - 1) state.SkipWithError("killed member not detected by all others");
    }
    state.counters["detect_p50_periods"] = at_share(after, 0.5);
    state.counters["detect_p99_periods"] = at_share(after, 0.99);
    state.counters["suspect_p50_periods"] = at_share(first_suspicion, 0.5);
    state.counters["suspect_max_periods"] = at_share(first_suspicion, 1);
    state.counters["least_timeout_periods"] = parameters.suspicion_timeout(members, 1000) / kPeriod;
}

// Measures the time from a restart, which is an update with a new process instance, until 99 % of the other
// members know it.
void spread(benchmark::State& state) {
    const auto members = static_cast<std::size_t>(state.range(0));
    std::vector<double> times;
    std::uint64_t iteration = 0;
    for (auto _ : state) {
        FleetSim fleet(members, parameters, static_cast<double>(state.range(1)) / 100,
                       seed_of(state, ++iteration));
        fleet.run(30 * kPeriod);
        const std::size_t restarted = members / 2;
        fleet.kill(restarted);
        fleet.restart(restarted);
        const Millis begun = fleet.now();
        const auto instance_id = fleet.at(restarted).self().instance_id;
        const auto wanted = static_cast<std::size_t>(std::ceil(0.99 * static_cast<double>(members - 1)));
        for (int step = 0; step < 2000; ++step) {
            fleet.run(kPeriod / 20);
            std::size_t informed = 0;
            for (std::size_t i = 0; i < members; ++i)
                if (i != restarted) {
                    const auto record = fleet.at(i).member(FleetSim::name(restarted));
                    informed += record && record->instance_id == instance_id;
                }
            if (informed >= wanted) break;
        }
        times.push_back((fleet.now() - begun) / kPeriod);
    }
    state.counters["spread_p50_periods"] = at_share(times, 0.5);
    state.counters["spread_max_periods"] = at_share(times, 1);
    state.counters["goal_periods"] = 3 * std::log2(static_cast<double>(members));
}

// Measures false deaths, suspicions and traffic during one hour without faults other than loss.
void calm(benchmark::State& state) {
    const auto members = static_cast<std::size_t>(state.range(0));
    double deaths = 0, suspicions = 0, hours = 0, bytes = 0, seconds = 0;
    std::uint64_t iteration = 0;
    for (auto _ : state) {
        FleetSim fleet(members, parameters, static_cast<double>(state.range(1)) / 100,
                       seed_of(state, ++iteration));
        fleet.run(60 * kPeriod);
        fleet.seen.clear();
        const auto before = fleet.bytes;
        fleet.run(3600 * kPeriod);
        for (const auto& s : fleet.seen) {
            deaths += s.change.what == "dead";
            suspicions += s.change.what == "suspect" && s.change.by == FleetSim::name(s.observer);
        }
        hours += static_cast<double>(members);
        bytes += static_cast<double>(fleet.bytes - before);
        seconds += 3600.0 * static_cast<double>(members);
    }
    state.counters["false_deaths_per_member_hour"] = deaths / hours;
    state.counters["suspicions_per_member_hour"] = suspicions / hours;
    state.counters["bytes_per_member_s"] = bytes / seconds;
}

void sizes(benchmark::internal::Benchmark* b, const std::vector<std::int64_t>& losses) {
    for (const std::int64_t members : {8, 16, 32, 64})
        for (const std::int64_t loss : losses) b->Args({members, loss});
    b->ArgNames({"members", "loss_pc"})->Unit(benchmark::kMillisecond);
}
BENCHMARK(detection)->Apply([](auto* b) { sizes(b, {0, 20}); }) -> Iterations(100);
BENCHMARK(spread)->Apply([](auto* b) { sizes(b, {0, 20}); }) -> Iterations(100);
BENCHMARK(calm)->Apply([](auto* b) { sizes(b, {0, 5, 20}); }) -> Iterations(2);

}  // namespace

BENCHMARK_MAIN();
