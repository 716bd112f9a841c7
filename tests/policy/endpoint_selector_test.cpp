/// @file
/// Tests of the selection among the servers that may be sent a request.
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

// Completes one request with an affinity key and returns the server that it was sent to.
ServerId run_request_with_affinity(PolicyHarness& harness, std::uint64_t key) {
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

// A sidecar with little traffic mostly compares servers that have no attempts in flight.
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

// The latencies of a kind of machine must also be used for servers of that kind that the sidecar has not used
// yet.
TEST(EndpointSelector, PrefersUnknownServersOfAQuickKind) {
    int quick = 0;
    int slow = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        PolicyHarness harness(make_settings(), seed);
        harness.deliver_list(ListKind::full, make_servers(6));  // servers with odd identifiers are of kind 1
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

TEST(EndpointSelector, PrefersItsOwnZoneIfCrossingZonesHasACost) {
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

// Class 1 has the higher weight and may be sent only to zone 0. Class 0 must avoid zone 0 unless all other
// servers are much slower.
TEST(EndpointSelector, ReservesServersForAConfinedClassOfHigherPriority) {
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
            EXPECT_GT(inside, 100) << "much slower other servers justify using the reserved ones";
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
        before[key] = run_request_with_affinity(harness, key);
        ASSERT_EQ(run_request_with_affinity(other, key), before[key]) << key;  // with another seed
    }
    std::vector<EndpointInfo> servers = make_named_servers(32);
    const ServerId gone = before[1];
    std::erase_if(servers, [&](const EndpointInfo& server) { return server.id == gone; });
    harness.deliver_list(ListKind::full, servers);
    int moved = 0;
    for (const auto& [key, server] : before) {
        const ServerId now = run_request_with_affinity(harness, key);
        moved += now != server;
        EXPECT_EQ(now != server, server == gone) << key;
    }
    EXPECT_LE(moved, 2000 / 32 + 20);
    EXPECT_GT(moved, 0);
}

// Guards against spreading little traffic over all servers, which would give too few samples of each server.
TEST(EndpointSelector, UsesASubsetThatGrowsWithTraffic) {
    PolicyHarness harness(non_idempotent_settings());
    harness.deliver_list(ListKind::full, make_servers(30));
    std::set<ServerId> used;
    for (int i = 0; i < 60; ++i) used.insert(run_request(harness, Outcome::completed, 100));
    EXPECT_LE(used.size(), 5U);
    for (const RequestId id : harness.start_requests(40)) used.insert(harness.server_of(id));
    EXPECT_GT(used.size(), 20U);
}

// Guards against keeping a failing subset: if every server of the subset fails, no success rate shows that
// servers outside it would succeed.
TEST(EndpointSelector, ReplacesFailingServersOfItsSubset) {
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

// A server is quiet if it has had an attempt in flight for longer than the latency objective without any
// response.
TEST(EndpointSelector, AvoidsAQuietServerUntilItResponds) {
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
    harness.advance(500);  // the latency objective of the class is 400 ms
    EXPECT_FALSE(reaches(harness.start_requests(8)));
    harness.end_attempt(stuck, Outcome::completed, 0);
    EXPECT_TRUE(reaches(harness.start_requests(8)));
}

}  // namespace
}  // namespace mothring::test
