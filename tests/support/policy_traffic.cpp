#include "policy_traffic.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace mothring::test {

namespace {

constexpr int kRequestsAtOnce = 3;
/// The number of requests that fills the success windows of all servers of a small fleet.
constexpr int kRequestsToFillWindows = 240;
constexpr Millis kFastLatency = 10;
constexpr Millis kVeryFastLatency = 5;
constexpr Millis kOverloadedLatency = 700;
constexpr int kOverloadRounds = 6;
constexpr Millis kOverloadTimeLeft = 2000;

// Traffic whose latencies vary although no server is overloaded.
constexpr ServerId kVariedServers = 12;
constexpr int kVariedRequests = 2000;
constexpr Millis kVariedTimeLeft = 2000;
constexpr Millis kVariedUsualLatency = 90;
constexpr int kResponsesPerSlowOne = 4;
constexpr std::uint32_t kVariedSeed = 7;

}  // namespace

Settings non_idempotent_settings() { return make_settings({make_class(Idempotency::never)}); }

Settings subscribing_settings(Millis resubscribe_within) {
    Settings settings = make_settings();
    settings.must_subscribe = true;
    settings.resubscribe_within = resubscribe_within;
    return settings;
}

PolicyHarness harness_in_fleet(std::uint32_t sidecars, ServerId servers) {
    Settings settings = make_settings();
    settings.fleet_size = sidecars;
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(servers));
    return harness;
}

ServerId run_request(PolicyHarness& harness, Outcome outcome, Millis after, std::uint32_t class_index) {
    const RequestId id = harness.start_request(class_index);
    if (!harness.is_in_flight(id)) {
        ADD_FAILURE() << "no attempt was sent";
        return 0;
    }
    const ServerId server = harness.server_of(id);
    harness.end_attempt(id, outcome, after);
    return server;
}

int count_sent_to(PolicyHarness& harness, int requests, ServerId server) {
    int hits = 0;
    for (int i = 0; i < requests; ++i) {
        const bool is_hit = run_request(harness, Outcome::completed, kFastLatency) == server;
        if (is_hit) ++hits;
    }
    return hits;
}

int drive_traffic(PolicyHarness& harness, int requests, ServerId faulty, Outcome outcome, int max_ended) {
    const bool is_first_traffic = harness.requests.empty() && faulty != 0;
    if (is_first_traffic) drive_traffic(harness, kRequestsToFillWindows, 0, Outcome::completed);
    int ended = 0;
    for (int i = 0; i < requests; i += kRequestsAtOnce)
        for (const RequestId id : harness.start_requests(kRequestsAtOnce))
            while (harness.is_in_flight(id)) {
                const bool is_hit = harness.server_of(id) == faulty && ended < max_ended;
                if (is_hit) ++ended;
                harness.end_attempt(id, is_hit ? outcome : Outcome::completed, kFastLatency);
            }
    return ended;
}

int count_sent_concurrently_to(PolicyHarness& harness, int requests, ServerId server) {
    return drive_traffic(harness, requests, server, Outcome::completed);
}

void use_many_servers(PolicyHarness& harness, int requests) {
    harness.complete_in_flight(harness.start_requests(requests), kVeryFastLatency);
}

void overload(PolicyHarness& harness, int count) {
    for (int round = 0; round < kOverloadRounds; ++round) {
        harness.complete_in_flight(harness.start_requests(count, kOverloadTimeLeft), kOverloadedLatency);
        harness.advance(0);
    }
}

std::ptrdiff_t count_rejected_without_overload(const Settings& settings, std::uint32_t tenant, Millis slow,
                                               Millis interval) {
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(kVariedServers));
    std::minstd_rand random(kVariedSeed);
    std::multimap<Millis, RequestId> due;
    std::vector<RequestId> counted;
    for (int i = 0; i < kVariedRequests; ++i) {
        const RequestId id = harness.start_request(0, kVariedTimeLeft, false, tenant);
        if (i >= kVariedRequests / 2) counted.push_back(id);
        if (harness.is_in_flight(id)) {
            const bool is_slow = random() % kResponsesPerSlowOne == 0;
            due.emplace(harness.now + (is_slow ? slow : kVariedUsualLatency), id);
        }
        harness.advance(interval);
        while (!due.empty() && due.begin()->first <= harness.now) {
            harness.end_attempt(due.begin()->second, Outcome::completed, 0);
            due.erase(due.begin());
        }
    }
    return std::count_if(counted.begin(), counted.end(),
                         [&](RequestId id) { return harness.attempts_of(id) == 0; });
}

void restart_first_server(PolicyHarness& harness, ServerId count) {
    std::vector<EndpointInfo> servers = make_servers(count);
    servers.front().started_at = harness.now;
    harness.deliver_list(ListKind::full, servers);
}

}  // namespace mothring::test
