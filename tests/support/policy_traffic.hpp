/// @file
/// Traffic patterns that several tests of the policy share.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy_harness.hpp"

namespace mothring::test {

/// A latency well below the latency objective.
constexpr Millis kShortLatency = 20;
/// More failures than any test causes.
constexpr int kUnlimited = 1000;
/// The number of concurrent requests that overloads a small fleet.
constexpr int kOverloadRequests = 100;
/// The time between requests of traffic that overloads no server.
constexpr Millis kRequestInterval = 4;

/// Returns settings with one class, whose requests may run at most once.
Settings non_idempotent_settings();

/// Returns settings of a sidecar that has to subscribe to the endpoint list.
Settings subscribing_settings(Millis resubscribe_within);

/// Returns the harness of one balancer in a fleet of `sidecars`, with the servers from 1 to `servers`.
PolicyHarness harness_in_fleet(std::uint32_t sidecars, ServerId servers);

/// Starts one request and ends its attempt with `outcome` after `after`. Fails the test if no attempt was
/// sent.
/// @return the server of the attempt.
ServerId run_request(PolicyHarness& harness, Outcome outcome, Millis after = kShortLatency,
                     std::uint32_t class_index = 0);

/// Runs requests one after another. Every attempt completes.
/// @return the number of attempts that were sent to `server`.
int count_sent_to(PolicyHarness& harness, int requests, ServerId server);

/// Runs requests, three at a time. Up to `max_ended` attempts at the server `faulty` end with `outcome`; all
/// others complete. If the harness had no traffic before, enough requests are completed first to fill the
/// servers' success windows.
/// @return the number of attempts at `faulty` that ended with `outcome`.
int drive_traffic(PolicyHarness& harness, int requests, ServerId faulty, Outcome outcome,
                  int max_ended = kUnlimited);

/// Runs requests, three at a time. Every attempt completes.
/// @return the number of attempts that were sent to `server`.
int count_sent_concurrently_to(PolicyHarness& harness, int requests, ServerId server);

/// Runs `requests` concurrent requests with short latencies, so that the balancer's subset grows.
void use_many_servers(PolicyHarness& harness, int requests);

/// Runs several rounds of `count` concurrent requests with latencies of nearly twice the latency objective.
void overload(PolicyHarness& harness, int count = kOverloadRequests);

/// Runs 2,000 requests against twelve servers, one in each `interval`. A quarter of the responses takes
/// `slow` and the rest 90 ms, so that latencies vary although no server is overloaded.
/// @return the number of the last 1,000 requests for which no attempt was sent.
std::ptrdiff_t count_rejected_without_overload(const Settings& settings, std::uint32_t tenant, Millis slow,
                                               Millis interval = kRequestInterval);

/// Delivers a list of the servers from 1 to `count`, the first of which has just started.
void restart_first_server(PolicyHarness& harness, ServerId count);

}  // namespace mothring::test
