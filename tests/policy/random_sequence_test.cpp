/// @file
/// The platform's rules over random but legal sequences of events, with random outcomes. No server is
/// modelled here; the harness checks every action.
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

/// A linear congruential generator. The test has one of its own, so that the balancer's draws are its own
/// too.
class Dice {
public:
    explicit Dice(std::uint64_t seed) : state_(seed * kSeedMultiplier + 1) {}

    /// From 0 to `count`, `count` not included.
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

// Identifiers from 1 to this are listed.
constexpr ServerId kServers = 10;

Settings settings_of_all_classes(bool may_hedge) {
    Settings settings = make_settings({make_class(Idempotency::always), make_class(Idempotency::never),
                                       make_class(Idempotency::with_key, DedupScope::all, 700),
                                       make_class(Idempotency::with_key, DedupScope::zone, 700),
                                       make_class(Idempotency::with_key, DedupScope::cell, 700)});
    settings.may_hedge = may_hedge;
    return settings;
}

// With classes confined to zones and kinds, and overload as no proof that nothing ran.
Settings confined_settings(bool may_hedge) {
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

void end_random_attempt(PolicyHarness& harness, Dice& dice) {
    std::vector<std::pair<RequestId, std::uint32_t>> in_flight;
    for (const auto& [id, request] : harness.requests)
        for (std::uint32_t number = 0; number < request.attempts.size(); ++number)
            if (request.attempts[number].in_flight) in_flight.emplace_back(id, number);
    if (in_flight.empty()) return;
    const auto [id, number] = in_flight[dice.below(static_cast<std::uint32_t>(in_flight.size()))];
    static const Outcome outcomes[] = {Outcome::completed,       Outcome::completed,      Outcome::completed,
                                       Outcome::failed,          Outcome::overloaded,     Outcome::timed_out,
                                       Outcome::connection_lost, Outcome::connect_failed, Outcome::not_sent};
    const bool is_closed = PolicyHarness::is_closed(harness.requests.at(id));
    const Outcome outcome = is_closed ? Outcome::cancelled : outcomes[dice.below(std::size(outcomes))];
    harness.end_numbered_attempt(id, number, outcome);
}

void change_list(PolicyHarness& harness, Dice& dice) {
    static const EndpointState states[] = {EndpointState::active, EndpointState::active,
                                           EndpointState::draining, EndpointState::removed};
    const ServerId changed = 1 + dice.below(kServers);
    const Millis started_at = dice.below(2) ? harness.now - dice.below(5000) : 0;
    if (dice.below(5)) {
        const EndpointState state = states[dice.below(std::size(states))];
        const EndpointInfo info{changed, changed % 3, changed % 2, state, started_at, changed % 2};
        harness.deliver_list(ListKind::incremental, {info});
        return;
    }
    std::vector<EndpointInfo> infos;
    for (const EndpointInfo& info : make_servers(kServers))
        if (dice.below(3)) infos.push_back(info);
    harness.deliver_list(dice.below(4) ? ListKind::full : ListKind::failed, infos);
}

void disconnect_random_client(PolicyHarness& harness, Dice& dice) {
    auto entry = harness.requests.begin();
    std::advance(entry, dice.below(static_cast<std::uint32_t>(harness.requests.size())));
    if (!PolicyHarness::is_closed(entry->second)) harness.disconnect_client(entry->first);
}

void run_random_step(PolicyHarness& harness, Dice& dice) {
    const std::uint32_t step = dice.below(100);
    if (step < 45) {
        // Class 5 and tenant 2 are unknown.
        const std::uint32_t tenant = dice.below(3);
        const bool is_retry = dice.below(4) == 0;
        const Millis time_left = 20 + dice.below(1500);
        const std::uint32_t class_index = dice.below(6);
        harness.start_request(class_index, time_left, is_retry, tenant);
    } else if (step < 85) {
        end_random_attempt(harness, dice);
    } else if (step < 88) {
        change_list(harness, dice);
    } else if (step < 90 && !harness.requests.empty()) {
        disconnect_random_client(harness, dice);
    } else if (step == 98 && dice.below(5) == 0) {
        harness.restart_balancer(dice.below(1000));
    } else if (step == 97) {
        harness.stall(dice.below(2000));
    } else {
        harness.advance(dice.below(step == 99 ? 4000 : 60));
    }
}

void run_random_sequence(PolicyHarness& harness, Dice& dice, int steps) {
    harness.deliver(Started{});
    harness.deliver_list(ListKind::cached, make_servers(6));
    for (int i = 0; i < steps; ++i) {
        run_random_step(harness, dice);
        // Keeps the harness quick.
        std::erase_if(harness.requests, [&](const auto& entry) {
            return PolicyHarness::is_closed(entry.second) && !harness.is_in_flight(entry.first);
        });
    }
}

TEST(RandomSequence, KeepsTheRules) {
    for (std::uint64_t seed = 1; seed <= 80; ++seed) {
        SCOPED_TRACE(seed);
        const bool may_hedge = seed % 2;
        const bool is_confined = seed % 4 >= 2;
        PolicyHarness harness(is_confined ? confined_settings(may_hedge) : settings_of_all_classes(may_hedge),
                              seed);
        Dice dice(seed);
        run_random_sequence(harness, dice, 1500);
        harness.expect_all_answered();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(RandomSequence, GivesEqualActionsForEqualEvents) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        PolicyHarness harness(settings_of_all_classes(false), 5);
        Dice dice(5);
        std::string trace;
        harness.deliver_list(ListKind::full, make_servers(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = harness.start_request(dice.below(5));
            trace += harness.is_in_flight(id) ? std::to_string(harness.server_of(id)) + "," : "-,";
            end_random_attempt(harness, dice);
            harness.now += 1;
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(RandomSequence, LeavesNothingInMemoryAfterALongTime) {
    PolicyHarness harness(settings_of_all_classes(false), 3);
    Dice dice(3);
    ServerId fresh = 100;
    for (int round = 0; round < 60; ++round) {
        run_random_sequence(harness, dice, 300);
        harness.deliver_list(ListKind::full, {{fresh, 0, 0, EndpointState::active, 0},
                                              {fresh + 1, 1, 1, EndpointState::active, 0}});
        fresh += 2;
        harness.advance(10000);
    }
    harness.expect_all_answered();
    EXPECT_EQ(harness.balancer.gauges().requests, 0U);
    EXPECT_LE(harness.balancer.gauges().servers, 2U);
    EXPECT_LE(harness.balancer.gauges().timers, 1U);
}

}  // namespace
}  // namespace mothring::test
