/// @file
/// A balancer with a simulated clock, for tests of its decisions.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "mothring/balancer.hpp"

namespace mothring::test {

/// A tenant that no settings name.
constexpr std::uint32_t kNoTenant = ~0U;
/// The harness's time at first.
constexpr Millis kHarnessStart = 100000;
constexpr Millis kDefaultDedupWindow = 3000;
/// Until a request's deadline.
constexpr Millis kDefaultTimeLeft = 1000;
/// From one step of a test to the end of an attempt.
constexpr Millis kDefaultDelay = 50;

/// A class of requests with a latency objective of 400 ms.
RequestClass make_class(Idempotency idempotency, DedupScope scope = DedupScope::all,
                        Millis window = kDefaultDedupWindow);

/// Settings of four attempts a request and a slow start of 20 s, from a fifth of the capacity on.
Settings make_settings(std::vector<RequestClass> classes = {make_class(Idempotency::always)});

/// Active servers 1 to `count`: the zone is the identifier modulo 3, cell and kind are the identifier
/// modulo 2.
std::vector<EndpointInfo> make_servers(ServerId count, Millis started_at = 0);

/// Drives a balancer through its events and checks each of its actions.
///
/// It plays the sidecar around the balancer: time passes only when a test says so, attempts stay in flight
/// until a test ends them or their deadline passes, and timers fire as time passes. Every action is held
/// against the platform's rules, as they are written and not as the policy implements them: one final answer
/// in time (rule 1), no harmful repeat (rule 2), nothing new for a draining server (rule 3), and each class's
/// placement.
struct PolicyHarness {
    /// An attempt that the balancer has sent.
    struct TrackedAttempt {
        ServerId server = 0;
        Millis sent_at = 0;
        /// In flight after this time, it times out.
        Millis deadline = 0;
        bool in_flight = true;
        bool may_have_run = true;
    };
    /// A request that the balancer was given.
    struct TrackedRequest {
        RequestClass request_class;
        std::uint32_t class_index = 0;
        Millis deadline = 0;
        std::vector<TrackedAttempt> attempts{};
        int answers = 0;
        bool client_gone = false;
        bool rejected = false;
    };

    Settings settings;
    Balancer balancer;
    Millis now = kHarnessStart;
    /// The end of the last stall(): answers that were due during it may come this late.
    Millis stalled_until = 0;
    std::map<RequestId, TrackedRequest> requests;
    /// As last listed.
    std::map<ServerId, EndpointInfo> servers;
    std::multimap<Millis, TimerToken> timers;
    /// The actions of the last event.
    std::vector<Action> last_actions;
    RequestId next_id = 1;
    /// How often the balancer has ejected a server.
    int ejections = 0;

    explicit PolicyHarness(Settings balancer_settings, std::uint64_t seed = 1);

    /// Gives the balancer an event and checks its actions.
    void deliver(const Event& event);

    /// Gives it a list of servers. The whole ones replace what was listed before.
    void deliver_list(ListKind kind, const std::vector<EndpointInfo>& infos);

    /// A request arrives.
    RequestId start_request(std::uint32_t class_index = 0, Millis time_left = kDefaultTimeLeft,
                            bool is_retry = false, std::uint32_t tenant = kNoTenant);
    /// So many requests of class 0 arrive at once.
    std::vector<RequestId> start_requests(int count, Millis time_left = kDefaultTimeLeft,
                                          bool are_retries = false);

    /// The client of a request goes away.
    void disconnect_client(RequestId id);

    /// Ends the first attempt in flight of a request, `after` from now. Fails the test where there is none.
    void end_attempt(RequestId id, Outcome outcome, Millis after = kDefaultDelay);
    /// Ends an attempt of a request now.
    void end_numbered_attempt(RequestId id, std::uint32_t number, Outcome outcome);
    /// Completes those of the requests that are in flight, all at once, `after` from now.
    void complete_in_flight(const std::vector<RequestId>& ids, Millis after);
    /// Makes a request's first attempt as old as if it had been sent that much earlier.
    void backdate_attempt(RequestId id, Millis earlier) {
        requests.at(id).attempts.front().sent_at -= earlier;
    }

    /// Lets time pass: timers fire, attempts time out.
    void advance(Millis span);
    /// The process gets no processor time for that long; then all that was due comes at once.
    void stall(Millis span);
    /// The process is killed and starts again with its last list, which may be old by now.
    void restart_balancer(std::uint64_t seed);

    /// Lets time pass until every request must have been answered, and checks that each was.
    void expect_all_answered();

    bool is_in_flight(RequestId id) const;
    /// How many of the requests are in flight.
    int count_in_flight(const std::vector<RequestId>& ids) const;
    /// Where the last attempt of a request went.
    ServerId server_of(RequestId id) const { return requests.at(id).attempts.back().server; }
    std::size_t attempts_of(RequestId id) const { return requests.at(id).attempts.size(); }
    /// How many final answers a request has.
    int answers_of(RequestId id) const { return requests.at(id).answers; }
    bool was_rejected(RequestId id) const { return requests.at(id).rejected; }
    /// Whether nothing may be sent for a request any more.
    static bool is_closed(const TrackedRequest& request) {
        return request.answers > 0 || request.client_gone;
    }
    /// How many of the last event's actions are of this type.
    template <class ActionType>
    int count_last_actions() const {
        return static_cast<int>(
            std::count_if(last_actions.begin(), last_actions.end(),
                          [](const Action& action) { return std::holds_alternative<ActionType>(action); }));
    }

private:
    /// Does what is due first, until then at the latest.
    /// @return whether anything was due.
    bool advance_to_next_event(Millis until);
    void check(const Action& action);
    void check_send(const SendAttempt& send);
    void check_placement(const TrackedRequest& request, const EndpointInfo& server) const;
    void check_repeat(const TrackedRequest& request, const EndpointInfo& server) const;
    void check_repeat_of(const TrackedAttempt& attempt, const RequestClass& request_class,
                         const EndpointInfo& server) const;
    static void check_dedup_scope(DedupScope scope, const EndpointInfo& before, const EndpointInfo& server);
    void check_rejection(const RejectRequest& rejection);
    void record_answer(TrackedRequest& request);
};

}  // namespace mothring::test
