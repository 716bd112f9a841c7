/// @file
/// Patterns of traffic that many tests of the policy send.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy_harness.hpp"

namespace mothring::test {

/// A response that is quicker than the latency objective.
constexpr Millis kShortLatency = 20;
/// More than any test has attempts fail.
constexpr int kAnyNumber = 1000;
/// Requests at once that overload a small fleet.
constexpr int kOverloadRequests = 100;
/// Between requests of traffic without a crowd.
constexpr Millis kRequestInterval = 4;

/// Settings with one class, whose requests may run once at most.
Settings non_idempotent_settings();

/// Settings of a sidecar that has to subscribe to discovery's list.
Settings subscribing_settings(Millis resubscribe_within);

/// One of so many sidecars, which knows servers 1 to `servers`.
PolicyHarness harness_in_fleet(std::uint32_t sidecars, ServerId servers);

/// Sends one request and ends its attempt like that, `after` later. Fails the test if it was not sent.
/// @return the server that got it.
ServerId run_request(PolicyHarness& harness, Outcome outcome, Millis after = kShortLatency,
                     std::uint32_t class_index = 0);

/// Sends requests one by one, each completed.
/// @return how many of them a server got.
int count_sent_to(PolicyHarness& harness, int requests, ServerId server);

/// Sends requests, three at a time. Attempts at `faulty` end with `outcome`, as long as fewer than `most`
/// have; all others complete. Where it is the harness's first traffic, completed requests come before it
/// until the servers' windows are full.
/// @return how many attempts at `faulty` ended with `outcome`.
int drive_traffic(PolicyHarness& harness, int requests, ServerId faulty, Outcome outcome,
                  int most = kAnyNumber);

/// Sends requests, three at a time, each completed.
/// @return how many attempts reached a server.
int count_sent_concurrently_to(PolicyHarness& harness, int requests, ServerId server);

/// Sends so many requests at once, completed quickly, so that the sidecar uses many servers.
void use_many_servers(PolicyHarness& harness, int requests);

/// Sends requests whose responses take nearly twice the latency objective, `count` at a time.
void overload(PolicyHarness& harness, int count = kOverloadRequests);

/// Sends 2,000 requests, one each `interval`, to twelve servers. A quarter of the responses takes `slow`, the
/// rest 90 ms: their mean shows no crowd.
/// @return how many of the second thousand were never sent.
std::ptrdiff_t count_rejected_without_overload(const Settings& settings, std::uint32_t tenant, Millis slow,
                                               Millis interval = kRequestInterval);

/// Lists servers 1 to `count`, of which the first has just started.
void restart_first_server(PolicyHarness& harness, ServerId count);

}  // namespace mothring::test
