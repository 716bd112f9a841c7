/// @file
/// Which of the servers that may have a request gets it.
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

std::vector<EndpointInfo> make_named_servers(ServerId count) {
    std::vector<EndpointInfo> servers = make_servers(count);
    for (EndpointInfo& server : servers) server.name_hash = 1000 + server.id;
    return servers;
}

// Completes one request with an affinity key; returns the server that got it.
ServerId affinity_server(PolicyHarness& harness, std::uint64_t key) {
    const RequestId id = harness.next_id++;
    harness.requests[id] = {make_class(Idempotency::always), 0, harness.now + 1000};
    RequestArrived event;
    event.id = id;
    event.time_left = 1000;
    event.affinity_hash = key;
    harness.deliver(event);
    const ServerId server = harness.server_of(id);
    harness.end_attempt(id, Outcome::completed, 5);
    return server;
}

TEST(EndpointSelector, PrefersTheServerWithFewerAttemptsInFlight) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    for (int i = 0; i < 10; ++i) {
        const RequestId first = harness.start_request();
        const RequestId second = harness.start_request();
        EXPECT_NE(harness.server_of(first), harness.server_of(second));
        harness.end_attempt(first, Outcome::completed);
        harness.end_attempt(second, Outcome::completed);
    }
}

TEST(EndpointSelector, SendsToAllServersInUse) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(5));
    use_many_servers(harness, 40);
    std::map<ServerId, int> hits;
    for (int i = 0; i < 500; ++i) ++hits[run_request(harness, Outcome::completed, 5)];
    for (ServerId server = 1; server <= 5; ++server) EXPECT_GT(hits[server], 50) << server;
}

// A sidecar with little traffic mostly compares servers with nothing in flight.
TEST(EndpointSelector, PrefersTheQuickerOfEquallyBusyServers) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(2));
    int slow = 0;
    for (int i = 0; i < 100; ++i) {
        const RequestId id = harness.start_request();
        slow += i >= 50 && harness.server_of(id) == 1;
        harness.end_attempt(id, Outcome::completed, harness.server_of(id) == 1 ? 200 : 50);
    }
    EXPECT_EQ(slow, 0);
}

// What a sidecar learns of a kind of machine holds for servers of that kind that it has not met.
TEST(EndpointSelector, PrefersUnknownServersOfAQuickKind) {
    int quick = 0;
    int slow = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        PolicyHarness harness(make_settings(), seed);
        harness.deliver_list(ListKind::full, make_servers(6));  // odd ones are of kind 1
        for (int i = 0; i < 60; ++i) {
            const RequestId id = harness.start_request();
            harness.end_attempt(id, Outcome::completed, harness.server_of(id) % 2 ? 300 : 30);
        }
        std::vector<EndpointInfo> others;
        for (ServerId id = 11; id <= 16; ++id) others.push_back({id, 0, 0, EndpointState::active, 0, id % 2});
        harness.deliver_list(ListKind::full, others);
        const bool is_slow = harness.server_of(harness.start_request()) % 2;
        ++(is_slow ? slow : quick);
    }
    EXPECT_GT(quick, 3 * slow);
}

TEST(EndpointSelector, PrefersItsOwnZoneWhereCrossingHasAPrice) {
    for (const double fee : {0.0, 0.08}) {
        Settings settings = non_idempotent_settings();
        settings.costs.cross_zone = fee;
        settings.my_zone = 1;
        PolicyHarness harness(settings);
        harness.deliver_list(ListKind::full, make_servers(9));
        int near = 0;
        for (int i = 0; i < 100; ++i) near += run_request(harness, Outcome::completed, 20) % 3 == 1;
        EXPECT_EQ(near >= 95, fee > 0) << near;
    }
}

// Class 1 has the higher weight and may only go to zone 0: class 0 keeps out while it is served elsewhere.
TEST(EndpointSelector, LeavesServersOfAConfinedClassToIt) {
    for (const bool others_are_slow : {false, true}) {
        Settings settings = make_settings({make_class(Idempotency::always), make_class(Idempotency::always)});
        settings.classes[1].zones = {{0}};
        settings.classes[1].priority_weight = 5;
        PolicyHarness harness(settings);
        harness.deliver_list(ListKind::full, make_servers(9));
        int inside = 0;
        for (int i = 0; i < 300; ++i) {
            const RequestId id = harness.start_request(i % 4 == 0);
            const bool there = harness.server_of(id) % 3 == 0;
            inside += there && i >= 100 && i % 4;
            harness.end_attempt(id, Outcome::completed, others_are_slow && !there ? 180 : 20);
        }
        if (others_are_slow) {
            EXPECT_GT(inside, 100) << "but not when the others are so much slower";
        } else {
            EXPECT_EQ(inside, 0);
        }
    }
}

TEST(EndpointSelector, MovesOnlyTheAffinityKeysOfAServerThatLeaves) {
    PolicyHarness harness(make_settings({make_class(Idempotency::always)}));
    PolicyHarness other(harness.settings, 99);
    harness.deliver_list(ListKind::full, make_named_servers(32));
    other.deliver_list(ListKind::full, make_named_servers(32));
    std::map<std::uint64_t, ServerId> before;
    for (std::uint64_t key = 1; key <= 2000; ++key) {
        before[key] = affinity_server(harness, key);
        ASSERT_EQ(affinity_server(other, key), before[key]) << key;  // whatever its own random draws
    }
    std::vector<EndpointInfo> servers = make_named_servers(32);
    const ServerId gone = before[1];
    std::erase_if(servers, [&](const EndpointInfo& server) { return server.id == gone; });
    harness.deliver_list(ListKind::full, servers);
    int moved = 0;
    for (const auto& [key, server] : before) {
        const ServerId now = affinity_server(harness, key);
        moved += now != server;
        EXPECT_EQ(now != server, server == gone) << key;
    }
    EXPECT_LE(moved, 2000 / 32 + 20);
    EXPECT_GT(moved, 0);
}

// Spread over all servers, a sidecar with little traffic would learn nothing of any.
TEST(EndpointSelector, UsesFewServersForLittleTrafficAndManyForMuch) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(30));
    std::set<ServerId> used;
    for (int i = 0; i < 60; ++i) used.insert(run_request(harness, Outcome::completed, 100));
    EXPECT_LE(used.size(), 5U);
    for (const RequestId id : harness.start_requests(40)) used.insert(harness.server_of(id));
    EXPECT_GT(used.size(), 20U);
}

// Where every server of the subset fails, no success rate shows that others do better.
TEST(EndpointSelector, ReplacesServersOfItsSubsetThatFail) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(30));
    int failed = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestId id = harness.start_request();
        const bool fails = harness.server_of(id) > 6;  // four of five servers
        failed += fails;
        harness.end_attempt(id, fails ? Outcome::failed : Outcome::completed, 20);
    }
    EXPECT_LT(failed, 40);
}

// A server that has had an attempt for longer than the objective without any response is quiet.
TEST(EndpointSelector, PassesOverAQuietServerUntilItResponds) {
    PolicyHarness harness = harness_in_fleet(100, 4);
    use_many_servers(harness, 8);
    const RequestId stuck = harness.start_request(0, 5000);
    const ServerId quiet = harness.server_of(stuck);
    const auto reaches = [&](const std::vector<RequestId>& ids) {
        const bool any =
            std::any_of(ids.begin(), ids.end(), [&](RequestId id) { return harness.server_of(id) == quiet; });
        harness.complete_in_flight(ids, 20);
        return any;
    };
    EXPECT_TRUE(reaches(harness.start_requests(8)));
    harness.advance(500);  // its class's latency objective is 400
    EXPECT_FALSE(reaches(harness.start_requests(8)));
    harness.end_attempt(stuck, Outcome::completed, 0);
    EXPECT_TRUE(reaches(harness.start_requests(8)));
}

}  // namespace
}  // namespace mothring::test
