/// @file
/// A balancer with a simulated clock, for tests of the balancer's decisions.
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

/// A tenant index without a quota in any settings.
constexpr std::uint32_t kNoTenant = ~0U;
/// The simulated time at which a harness starts.
constexpr Millis kHarnessStart = 100000;
constexpr Millis kDefaultDedupWindow = 3000;
/// The time from a request's arrival to its deadline.
constexpr Millis kDefaultTimeLeft = 1000;
/// The time from one step of a test to the end of an attempt.
constexpr Millis kDefaultDelay = 50;

/// Returns a request class with a latency objective of 400 ms.
RequestClass make_class(Idempotency idempotency, DedupScope scope = DedupScope::all,
                        Millis window = kDefaultDedupWindow);

/// Returns settings with four attempts for each request and a slow start of 20 s that begins at a fifth of
/// the capacity.
Settings make_settings(std::vector<RequestClass> classes = {make_class(Idempotency::always)});

/// Returns active servers with the identifiers from 1 to `count`. The zone of each is its identifier modulo
/// 3, its cell and its kind are the identifier modulo 2.
std::vector<EndpointInfo> make_servers(ServerId count, Millis started_at = 0);

/// Delivers events to a balancer and checks every action that the balancer takes.
///
/// The harness takes the role of the sidecar around the balancer. Simulated time passes only when a test
/// advances it, attempts stay in flight until a test ends them or their deadline passes, and timers fire as
/// time passes. The checks are written from the platform's requirements and independently of the policy's
/// code:
/// - Every request gets exactly one final answer before its deadline, and no attempt is sent after it.
/// - After an attempt that may have run, a request is sent again only if it is idempotent, or if it has an
///   idempotency key and the new attempt stays within the deduplication window and scope. It is rejected only
///   if the client may safely retry it.
/// - No attempt is sent to a server that is draining or has been removed.
/// - Every attempt stays within the zones and kinds of machine that its class permits.
/// - No request has more attempts than the settings allow, or two in flight without permission to hedge.
struct PolicyHarness {
    /// An attempt that the balancer has sent.
    struct TrackedAttempt {
        ServerId server = 0;
        Millis sent_at = 0;
        /// The time at which the attempt times out if it is still in flight.
        Millis deadline = 0;
        bool in_flight = true;
        bool may_have_run = true;
    };
    /// A request that has been delivered to the balancer.
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
    /// The end of the last stall(). A final answer that was due during the stall may come as late as this.
    Millis stalled_until = 0;
    std::map<RequestId, TrackedRequest> requests;
    /// The servers as last delivered in a list.
    std::map<ServerId, EndpointInfo> servers;
    std::multimap<Millis, TimerToken> timers;
    /// The balancer's actions in response to the last event.
    std::vector<Action> last_actions;
    RequestId next_id = 1;
    /// The number of times that the balancer has ejected a server.
    int ejections = 0;

    explicit PolicyHarness(Settings balancer_settings, std::uint64_t seed = 1);

    /// Delivers an event to the balancer and checks the balancer's actions.
    void deliver(const Event& event);

    /// Delivers an endpoint list. A full or cached list replaces all servers that were listed before.
    void deliver_list(ListKind kind, const std::vector<EndpointInfo>& infos);

    /// Delivers the arrival of a request.
    /// @return the request's identifier.
    RequestId start_request(std::uint32_t class_index = 0, Millis time_left = kDefaultTimeLeft,
                            bool is_retry = false, std::uint32_t tenant = kNoTenant);
    /// Delivers the arrivals of `count` requests of class 0 at the same time.
    std::vector<RequestId> start_requests(int count, Millis time_left = kDefaultTimeLeft,
                                          bool are_retries = false);

    /// Delivers the disconnection of a request's client.
    void disconnect_client(RequestId id);

    /// Advances the clock by `after` and ends the first attempt in flight of a request. Fails the test if the
    /// request has no attempt in flight.
    void end_attempt(RequestId id, Outcome outcome, Millis after = kDefaultDelay);
    /// Ends the attempt with this number of a request at the current time.
    void end_numbered_attempt(RequestId id, std::uint32_t number, Outcome outcome);
    /// Advances the clock by `after` and completes one attempt of each of the requests that are in flight.
    void complete_in_flight(const std::vector<RequestId>& ids, Millis after);
    /// Moves the sending time of a request's first attempt back by `earlier`.
    void backdate_attempt(RequestId id, Millis earlier) {
        requests.at(id).attempts.front().sent_at -= earlier;
    }

    /// Advances the clock. Timers fire and attempts time out at their times.
    void advance(Millis span);
    /// Simulates a process that gets no processor time for this long. Everything that was due during the
    /// stall happens at its end.
    void stall(Millis span);
    /// Simulates a crash and a new start with the last endpoint list, which may be out of date.
    void restart_balancer(std::uint64_t seed);

    /// Advances the clock past the deadline of every request and checks that each request was answered.
    void expect_all_answered();

    bool is_in_flight(RequestId id) const;
    /// Returns the number of these requests that have an attempt in flight.
    int count_in_flight(const std::vector<RequestId>& ids) const;
    /// Returns the server of the last attempt of a request.
    ServerId server_of(RequestId id) const { return requests.at(id).attempts.back().server; }
    std::size_t attempts_of(RequestId id) const { return requests.at(id).attempts.size(); }
    /// Returns the number of final answers of a request.
    int answers_of(RequestId id) const { return requests.at(id).answers; }
    bool was_rejected(RequestId id) const { return requests.at(id).rejected; }
    /// Returns whether a request has its final answer or its client has left, so that no attempt may follow.
    static bool is_closed(const TrackedRequest& request) {
        return request.answers > 0 || request.client_gone;
    }
    /// Returns the number of the last event's actions that are of this type.
    template <class ActionType>
    int count_last_actions() const {
        return static_cast<int>(
            std::count_if(last_actions.begin(), last_actions.end(),
                          [](const Action& action) { return std::holds_alternative<ActionType>(action); }));
    }

private:
    /// Advances the clock to the first time-out or timer that is due until then and delivers it. If there is
    /// none, advances the clock to `until`.
    /// @return whether an event was delivered.
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
