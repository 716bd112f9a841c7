/// @file
/// Tests of slow start: how many attempts are sent to a server that is warming up.
#include <cstdint>
#include <optional>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

// Returns how many of fifty sidecars without any traffic so far send their first request to a server that is
// warming up.
int count_sending(const Settings& settings, std::optional<MemberView> members = {}) {
    int hits = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        PolicyHarness harness(settings, seed);
        if (members) harness.deliver(*members);
        harness.deliver_list(ListKind::full, make_servers(2));
        restart_first_server(harness, 2);
        harness.now += 19000;
        hits += run_request(harness, Outcome::completed) == 1;
    }
    return hits;
}

TEST(SlowStart, KeepsTheWholeFleetWithinTheCapacityOfAStartingServer) {
    std::vector<PolicyHarness> harnesses;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) harnesses.emplace_back(make_settings(), seed);
    for (PolicyHarness& harness : harnesses) harness.deliver_list(ListKind::full, make_servers(8));
    struct Second {
        int hits = 0;
        int all = 0;
    };
    const auto run_second = [&](ServerId watched) {
        Second second;
        for (int i = 0; i < 50; ++i)
            for (PolicyHarness& harness : harnesses) {
                harness.now += 10;
                const RequestId id = harness.start_request();
                second.hits += harness.server_of(id) == watched;
                ++second.all;
                harness.end_attempt(id, Outcome::completed, 10);
            }
        return second;
    };
    for (PolicyHarness& harness : harnesses) use_many_servers(harness, 12);
    for (int i = 0; i < 10; ++i) run_second(1);
    for (PolicyHarness& harness : harnesses) restart_first_server(harness, 8);
    for (int i = 0; i < 3; ++i) {
        const auto [hits, all] = run_second(1);
        const double even = all / 8.0;
        EXPECT_LT(hits, even * 0.5) << "second " << i;  // its capacity is 0.2 to 0.32 of a warm server
    }
    for (int i = 0; i < 25; ++i) run_second(1);
    EXPECT_GT(run_second(1).hits, 15) << "the server is warm again";
}

// Guards against deriving the rate from arrivals: in a retry storm they are many times what a server can
// handle.
TEST(SlowStart, SendsNoMoreDuringARetryStorm) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(4));
    for (int i = 0; i < 100; ++i) run_request(harness, Outcome::completed, 10);
    restart_first_server(harness, 4);
    int hits = 0;
    for (int i = 0; i < 3000; ++i) {  // 1000 requests per second for three seconds
        harness.now += 1;
        const RequestId id = harness.start_request();
        while (harness.is_in_flight(id)) {
            hits += harness.server_of(id) == 1;
            harness.end_attempt(id, Outcome::overloaded, 0);
        }
    }
    EXPECT_LT(hits, 30);
}

// One attempt from each sidecar would be more than a server that has just started can handle.
TEST(SlowStart, SendsFewAttemptsFromAThousandIdleSidecars) {
    Settings settings = make_settings();
    settings.fleet_size = 1000;
    EXPECT_LE(count_sending(settings), 2);
}

TEST(SlowStart, UsesThePresentMembersWithAQuorumOtherwiseTheFleetSize) {
    const Settings settings = make_settings();  // with a fleet size of one sidecar
    const MemberView many_with_quorum{1000, true};
    const MemberView many_without_quorum{1000, false};
    const MemberView one_with_quorum{1, true};
    EXPECT_LE(count_sending(settings, many_with_quorum), 2);
    EXPECT_GT(count_sending(settings, many_without_quorum), 10);
    EXPECT_EQ(count_sending(settings, many_without_quorum), count_sending(settings, one_with_quorum));
}

// Guards against measuring the rate of a warm server by servers that are still warming up, whose lower rate
// would reduce the attempts sent to each of them.
TEST(SlowStart, MeasuresTheRateAtWarmServersIfMostAreWarmingUp) {
    Settings settings = make_settings();
    // A server gets only its plain share. A larger multiple would hide which mean the share is based on.
    settings.overload_multiple = 1;
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(2));
    for (int i = 0; i < 300; ++i) run_request(harness, Outcome::completed, 10);
    std::vector<EndpointInfo> servers = make_servers(20, harness.now);
    servers[0].started_at = 0;
    servers[1].started_at = 0;
    harness.deliver_list(ListKind::full, servers);
    int sent_to_warming_up = 0;
    for (int i = 0; i < 1200; ++i) {
        const ServerId server = run_request(harness, Outcome::completed, 10);
        sent_to_warming_up += i >= 900 && server > 2;  // at 9 to 12 s of the 20 s of warm-up
    }
    EXPECT_GT(sent_to_warming_up, 200);
}

// A server that responds quickly during its warm-up gets more than its share. A late one gets only its share.
TEST(SlowStart, SendsMoreToAQuickServerThanToALateOne) {
    int hits[2] = {};
    for (const bool late : {false, true}) {
        Settings settings = make_settings();
        settings.overload_multiple = 3;
        PolicyHarness harness(settings);
        harness.deliver_list(ListKind::full, make_servers(4));
        for (int i = 0; i < 500; ++i) run_request(harness, Outcome::completed, 10);
        restart_first_server(harness, 4);
        for (int i = 0; i < 500; ++i) {
            const RequestId id = harness.start_request(0, 3000);
            const bool is_warming_up = harness.server_of(id) == 1;
            hits[late] += is_warming_up;
            // The warm servers take even longer, so that the server that is warming up is preferred among
            // equally busy ones.
            if (!is_warming_up || late) harness.backdate_attempt(id, is_warming_up ? 340 : 380);
            harness.end_attempt(id, Outcome::completed, 10);
        }
    }
    EXPECT_GT(hits[0], hits[1] * 3 / 2);
}

// Attempts at servers that are warming up must not count against the limit for warm servers.
TEST(SlowStart, SendsToAStartingServerAlthoughTheWarmServersAreFull) {
    PolicyHarness harness = harness_in_fleet(4, 4);
    for (int i = 0; i < 300; ++i) run_request(harness, Outcome::completed, 10);
    for (int i = 0; i < 3; ++i) overload(harness);
    restart_first_server(harness, 4);
    bool reached = false;
    for (int i = 0; i < 400; ++i) {  // no attempt ends, so the warm servers stay full
        harness.advance(50);
        const RequestId id = harness.start_request(0, 60000);
        reached = reached || (harness.is_in_flight(id) && harness.server_of(id) == 1);
    }
    EXPECT_TRUE(reached);
}

// Guards against ejecting a server because it is slow while it is warming up.
TEST(SlowStart, CountsNoLateResponseOfAStartingServerAsAFailure) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(8));
    for (int i = 0; i < 400; ++i) run_request(harness, Outcome::completed, 10);
    restart_first_server(harness, 8);
    int sent_to_warming_up = 0;
    // Eight requests at once, so that attempts in flight and not latencies decide the selection.
    for (int round = 0; round < 400; ++round) {
        const std::vector<RequestId> ids = harness.start_requests(8, 3000);
        harness.now += 15;
        for (const RequestId id : ids) {
            if (harness.server_of(id) == 1) {
                harness.backdate_attempt(id, 450);
                ++sent_to_warming_up;
            }
            harness.end_attempt(id, Outcome::completed, 0);
        }
    }
    EXPECT_GT(sent_to_warming_up, 5);
    EXPECT_EQ(harness.ejections, 0);
}

TEST(SlowStart, SendsSomeRequestsIfAllServersAreWarmingUp) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(3, harness.now));
    int sent = 0;
    for (int i = 0; i < 1500; ++i) {
        harness.now += 20;
        const RequestId id = harness.start_request();
        if (harness.is_in_flight(id)) {
            ++sent;
            harness.end_attempt(id, Outcome::completed, 0);
        }
        harness.advance(0);
    }
    EXPECT_GT(sent, 10);
    harness.expect_all_answered();
}

// The initial fill of the sidecars' token buckets is random, so that some of them may send at once.
TEST(SlowStart, SendsFromTheFirstSecondInALargeFleet) {
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Settings settings = make_settings();
        settings.fleet_size = 100;
        PolicyHarness harness(settings, seed);
        harness.deliver_list(ListKind::full, make_servers(4));
        for (int i = 0; i < 200; ++i) harness.complete_in_flight(harness.start_requests(2), 50);
        restart_first_server(harness, 4);
        for (int i = 0; i < 4; ++i) {
            const std::vector<RequestId> ids = harness.start_requests(2);
            for (const RequestId id : ids) sent += harness.is_in_flight(id) && harness.server_of(id) == 1;
            harness.complete_in_flight(ids, 50);
        }
    }
    // Each sidecar completes ten attempts per second at a warm server. In 0.2 s a starting server gets a
    // fifth of that, and up to 2.8 times as much if it responds quickly.
    EXPECT_GT(sent, 100 * 2 * 0.2 / 3);
    EXPECT_LT(sent, 100 * 2 * 0.21 * 2.8 * 1.25);
}

// Without a slow start window, not even a server with a start time in the future counts as warming up.
TEST(SlowStart, IsDisabledWithoutAWindow) {
    Settings settings = make_settings();
    settings.slow_start_window = 0;
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(2, harness.now + 1000));
    EXPECT_TRUE(harness.is_in_flight(harness.start_request()));
}

}  // namespace
}  // namespace mothring::test
