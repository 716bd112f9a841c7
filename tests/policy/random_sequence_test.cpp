/// @file
/// Random valid sequences of events with random outcomes of attempts. The harness checks that every action
/// meets the platform's requirements. Servers are not modelled.
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

/// A linear congruential generator. The tests don't share the balancer's generator, so that the events and
/// the balancer's decisions are drawn independently.
class LinearCongruentialGenerator {
public:
    explicit LinearCongruentialGenerator(std::uint64_t seed) : state_(seed * kSeedMultiplier + 1) {}

    /// Returns an integer in [0, count).
    std::uint32_t below(std::uint32_t count) {
        constexpr int kLowBits = 33;
        state_ = state_ * kMultiplier + kIncrement;
        return static_cast<std::uint32_t>(state_ >> kLowBits) % count;
    }

private:
    static constexpr std::uint64_t kSeedMultiplier = 2654435761;
    static constexpr std::uint64_t kMultiplier = 6364136223846793005;
    static constexpr std::uint64_t kIncrement = 1442695040888963407;

    std::uint64_t state_;
};

// Listed servers have the identifiers from 1 to this.
constexpr ServerId kServers = 10;

Settings settings_of_all_classes(bool may_hedge) {
    Settings settings = make_settings({make_class(Idempotency::always), make_class(Idempotency::never),
                                       make_class(Idempotency::with_key, DedupScope::all, 700),
                                       make_class(Idempotency::with_key, DedupScope::zone, 700),
                                       make_class(Idempotency::with_key, DedupScope::cell, 700)});
    settings.may_hedge = may_hedge;
    return settings;
}

// Returns settings in which some classes are restricted to zones or kinds of machine, an overloaded server
// may have run the request, and tenants have quotas.
Settings restricted_settings(bool may_hedge) {
    Settings settings = settings_of_all_classes(may_hedge);
    settings.classes[0].zones = {{1, 2}};
    settings.classes[1].zones = {{0}};
    settings.classes[2].zones = {{2}};
    settings.classes[3].kinds = {{1}};
    settings.overloaded_may_have_run = true;
    settings.tenant_quotas = {0.7, 0.3};
    settings.over_quota_weight = 0.2;
    return settings;
}

void end_random_attempt(PolicyHarness& harness, LinearCongruentialGenerator& random) {
    std::vector<std::pair<RequestId, std::uint32_t>> in_flight;
    for (const auto& [id, request] : harness.requests)
        for (std::uint32_t number = 0; number < request.attempts.size(); ++number)
            if (request.attempts[number].in_flight) in_flight.emplace_back(id, number);
    if (in_flight.empty()) return;
    const auto [id, number] = in_flight[random.below(static_cast<std::uint32_t>(in_flight.size()))];
    static const Outcome outcomes[] = {Outcome::completed,       Outcome::completed,      Outcome::completed,
                                       Outcome::failed,          Outcome::overloaded,     Outcome::timed_out,
                                       Outcome::connection_lost, Outcome::connect_failed, Outcome::not_sent};
    const bool is_closed = PolicyHarness::is_closed(harness.requests.at(id));
    const Outcome outcome = is_closed ? Outcome::cancelled : outcomes[random.below(std::size(outcomes))];
    harness.end_numbered_attempt(id, number, outcome);
}

void change_list(PolicyHarness& harness, LinearCongruentialGenerator& random) {
    static const EndpointState states[] = {EndpointState::active, EndpointState::active,
                                           EndpointState::draining, EndpointState::removed};
    const ServerId changed = 1 + random.below(kServers);
    const Millis started_at = random.below(2) ? harness.now - random.below(5000) : 0;
    if (random.below(5)) {
        const EndpointState state = states[random.below(std::size(states))];
        const EndpointInfo info{changed, changed % 3, changed % 2, state, started_at, changed % 2};
        harness.deliver_list(ListKind::incremental, {info});
        return;
    }
    std::vector<EndpointInfo> infos;
    for (const EndpointInfo& info : make_servers(kServers))
        if (random.below(3)) infos.push_back(info);
    harness.deliver_list(random.below(4) ? ListKind::full : ListKind::failed, infos);
}

void disconnect_random_client(PolicyHarness& harness, LinearCongruentialGenerator& random) {
    auto entry = harness.requests.begin();
    std::advance(entry, random.below(static_cast<std::uint32_t>(harness.requests.size())));
    if (!PolicyHarness::is_closed(entry->second)) harness.disconnect_client(entry->first);
}

void run_random_step(PolicyHarness& harness, LinearCongruentialGenerator& random) {
    const std::uint32_t step = random.below(100);
    if (step < 45) {
        // Class 5 and tenant 2 do not exist in the settings.
        const std::uint32_t tenant = random.below(3);
        const bool is_retry = random.below(4) == 0;
        const Millis time_left = 20 + random.below(1500);
        const std::uint32_t class_index = random.below(6);
        harness.start_request(class_index, time_left, is_retry, tenant);
    } else if (step < 85) {
        end_random_attempt(harness, random);
    } else if (step < 88) {
        change_list(harness, random);
    } else if (step < 90 && !harness.requests.empty()) {
        disconnect_random_client(harness, random);
    } else if (step == 98 && random.below(5) == 0) {
        harness.restart_balancer(random.below(1000));
    } else if (step == 97) {
        harness.stall(random.below(2000));
    } else {
        harness.advance(random.below(step == 99 ? 4000 : 60));
    }
}

void run_random_sequence(PolicyHarness& harness, LinearCongruentialGenerator& random, int steps) {
    harness.deliver(Started{});
    harness.deliver_list(ListKind::cached, make_servers(6));
    for (int i = 0; i < steps; ++i) {
        run_random_step(harness, random);
        // Removes closed requests, as the harness visits every request for each step of its clock.
        std::erase_if(harness.requests, [&](const auto& entry) {
            return PolicyHarness::is_closed(entry.second) && !harness.is_in_flight(entry.first);
        });
    }
}

TEST(RandomSequence, MeetsThePlatformsRequirements) {
    for (std::uint64_t seed = 1; seed <= 80; ++seed) {
        SCOPED_TRACE(seed);
        const bool may_hedge = seed % 2;
        const bool is_restricted = seed % 4 >= 2;
        PolicyHarness harness(
            is_restricted ? restricted_settings(may_hedge) : settings_of_all_classes(may_hedge), seed);
        LinearCongruentialGenerator random(seed);
        run_random_sequence(harness, random, 1500);
        harness.expect_all_answered();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(RandomSequence, TakesEqualActionsForEqualEvents) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        PolicyHarness harness(settings_of_all_classes(false), 5);
        LinearCongruentialGenerator random(5);
        std::string trace;
        harness.deliver_list(ListKind::full, make_servers(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = harness.start_request(random.below(5));
            trace += harness.is_in_flight(id) ? std::to_string(harness.server_of(id)) + "," : "-,";
            end_random_attempt(harness, random);
            harness.now += 1;
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(RandomSequence, FreesRequestsServersAndTimersOverALongTime) {
    PolicyHarness harness(settings_of_all_classes(false), 3);
    LinearCongruentialGenerator random(3);
    ServerId next_server = 100;
    for (int round = 0; round < 60; ++round) {
        run_random_sequence(harness, random, 300);
        harness.deliver_list(ListKind::full, {{next_server, 0, 0, EndpointState::active, 0},
                                              {next_server + 1, 1, 1, EndpointState::active, 0}});
        next_server += 2;
        harness.advance(10000);
    }
    harness.expect_all_answered();
    EXPECT_EQ(harness.balancer.gauges().requests, 0U);
    EXPECT_LE(harness.balancer.gauges().servers, 2U);
    EXPECT_LE(harness.balancer.gauges().timers, 1U);
}

}  // namespace
}  // namespace mothring::test
