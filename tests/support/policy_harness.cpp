#include "policy_harness.hpp"

#include <algorithm>
#include <utility>

namespace mothring::test {

namespace {

constexpr Millis kLatencyObjective = 400;
constexpr std::uint32_t kMaxAttempts = 4;
constexpr double kSlowStartMinCapacity = 0.2;
constexpr Millis kSlowStartWindow = 20000;
/// Longer than the time to the deadline of any request in the tests.
constexpr Millis kLongerThanAnyRequest = 60000;

/// Returns the first attempt of a request that may have run, or null if there is none.
const PolicyHarness::TrackedAttempt* first_possible_run(const PolicyHarness::TrackedRequest& request) {
    for (const PolicyHarness::TrackedAttempt& attempt : request.attempts)
        if (attempt.may_have_run) return &attempt;
    return nullptr;
}

bool permits(const std::optional<std::vector<std::uint32_t>>& permitted, std::uint32_t value) {
    return !permitted || std::find(permitted->begin(), permitted->end(), value) != permitted->end();
}

}  // namespace

RequestClass make_class(Idempotency idempotency, DedupScope scope, Millis window) {
    RequestClass request_class;
    request_class.idempotency = idempotency;
    request_class.dedup_scope = scope;
    request_class.dedup_window = window;
    request_class.latency_objective = kLatencyObjective;
    return request_class;
}

Settings make_settings(std::vector<RequestClass> classes) {
    Settings settings;
    settings.classes = std::move(classes);
    settings.max_attempts = kMaxAttempts;
    settings.slow_start_min_capacity = kSlowStartMinCapacity;
    settings.slow_start_window = kSlowStartWindow;
    return settings;
}

std::vector<EndpointInfo> make_servers(ServerId count, Millis started_at) {
    std::vector<EndpointInfo> servers;
    for (ServerId id = 1; id <= count; ++id)
        servers.push_back({id, id % 3, id % 2, EndpointState::active, started_at, id % 2});
    return servers;
}

PolicyHarness::PolicyHarness(Settings balancer_settings, std::uint64_t seed)
    : settings(balancer_settings), balancer(std::move(balancer_settings), seed) {}

void PolicyHarness::deliver(const Event& event) {
    last_actions.clear();
    balancer.handle(now, event, last_actions);
    for (const Action& action : last_actions) check(action);
}

void PolicyHarness::deliver_list(ListKind kind, const std::vector<EndpointInfo>& infos) {
    if (kind != ListKind::incremental && kind != ListKind::failed)
        for (auto& [id, server] : servers) server.state = EndpointState::removed;
    for (const EndpointInfo& info : infos) servers[info.id] = info;
    deliver(EndpointList{kind, infos});
}

RequestId PolicyHarness::start_request(std::uint32_t class_index, Millis time_left, bool is_retry,
                                       std::uint32_t tenant) {
    const RequestId id = next_id++;
    RequestClass request_class = make_class(Idempotency::never);
    if (class_index < settings.classes.size()) request_class = settings.classes[class_index];
    requests[id] = {request_class, class_index, now + time_left};
    deliver(RequestArrived{id, class_index, time_left, 0, is_retry, tenant});
    return id;
}

std::vector<RequestId> PolicyHarness::start_requests(int count, Millis time_left, bool are_retries) {
    std::vector<RequestId> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) ids.push_back(start_request(0, time_left, are_retries));
    return ids;
}

void PolicyHarness::disconnect_client(RequestId id) {
    requests.at(id).client_gone = true;
    deliver(ClientDisconnected{id});
}

void PolicyHarness::end_attempt(RequestId id, Outcome outcome, Millis after) {
    now += after;
    const TrackedRequest& request = requests.at(id);
    for (std::uint32_t number = 0; number < request.attempts.size(); ++number) {
        if (!request.attempts[number].in_flight) continue;
        end_numbered_attempt(id, number, outcome);
        return;
    }
    FAIL() << "no attempt in flight for request " << id;
}

void PolicyHarness::end_numbered_attempt(RequestId id, std::uint32_t number, Outcome outcome) {
    TrackedRequest& request = requests.at(id);
    TrackedAttempt& attempt = request.attempts.at(number);
    attempt.in_flight = false;
    const bool overload_allows_run = outcome != Outcome::overloaded || settings.overloaded_may_have_run;
    attempt.may_have_run =
        overload_allows_run && outcome != Outcome::connect_failed && outcome != Outcome::not_sent;
    if (outcome == Outcome::completed && !is_closed(request)) ++request.answers;
    deliver(AttemptEnded{id, number, outcome, now - attempt.sent_at, is_closed(request)});
}

void PolicyHarness::complete_in_flight(const std::vector<RequestId>& ids, Millis after) {
    now += after;
    for (const RequestId id : ids)
        if (is_in_flight(id)) end_attempt(id, Outcome::completed, 0);
}

void PolicyHarness::advance(Millis span) {
    const Millis until = now + span;
    bool was_delivered = true;
    while (was_delivered) was_delivered = advance_to_next_event(until);
}

bool PolicyHarness::advance_to_next_event(Millis until) {
    struct ExpiringAttempt {
        RequestId id;
        std::uint32_t number;
    };
    Millis next = until;
    if (!timers.empty()) next = std::min(next, timers.begin()->first);
    std::optional<ExpiringAttempt> expiring;
    for (const auto& [id, request] : requests)
        for (std::uint32_t number = 0; number < request.attempts.size(); ++number) {
            const TrackedAttempt& attempt = request.attempts[number];
            const Millis expires_at = std::max(now, attempt.deadline);
            if (!attempt.in_flight || expires_at >= next) continue;
            next = expires_at;
            expiring = {id, number};
        }
    now = std::max(now, next);
    if (expiring) {
        end_numbered_attempt(expiring->id, expiring->number, Outcome::timed_out);
        return true;
    }
    if (timers.empty() || timers.begin()->first > now || now > until) return false;
    const TimerToken token = timers.begin()->second;
    timers.erase(timers.begin());
    deliver(TimerFired{token});
    return true;
}

void PolicyHarness::stall(Millis span) {
    now += span;
    stalled_until = now;
    advance(0);
}

void PolicyHarness::restart_balancer(std::uint64_t seed) {
    requests.clear();
    timers.clear();
    balancer = Balancer(settings, seed);
    std::vector<EndpointInfo> saved;
    for (const auto& [id, server] : servers)
        if (server.state != EndpointState::removed) saved.push_back(server);
    deliver(Started{});
    deliver_list(ListKind::cached, saved);
}

void PolicyHarness::expect_all_answered() {
    advance(kLongerThanAnyRequest);
    for (const auto& [id, request] : requests)
        EXPECT_TRUE(is_closed(request)) << "request " << id << " got no final answer";
    EXPECT_EQ(balancer.gauges().requests, 0U);
}

bool PolicyHarness::is_in_flight(RequestId id) const {
    const std::vector<TrackedAttempt>& attempts = requests.at(id).attempts;
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const TrackedAttempt& attempt) { return attempt.in_flight; });
}

int PolicyHarness::count_in_flight(const std::vector<RequestId>& ids) const {
    return static_cast<int>(
        std::count_if(ids.begin(), ids.end(), [&](RequestId id) { return is_in_flight(id); }));
}

void PolicyHarness::check(const Action& action) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) check_send(*send);
    if (const auto* rejection = std::get_if<RejectRequest>(&action)) check_rejection(*rejection);
    if (const auto* failure = std::get_if<FailRequest>(&action)) record_answer(requests.at(failure->id));
    if (const auto* timer = std::get_if<SetTimer>(&action)) timers.emplace(timer->at, timer->token);
    if (std::holds_alternative<EndpointEjected>(action)) ++ejections;
}

void PolicyHarness::check_rejection(const RejectRequest& rejection) {
    TrackedRequest& request = requests.at(rejection.id);
    if (first_possible_run(request)) {
        const RequestClass& request_class = request.request_class;
        EXPECT_TRUE(request_class.idempotency == Idempotency::always ||
                    (request_class.idempotency == Idempotency::with_key &&
                     request_class.dedup_scope == DedupScope::all))
            << "rejected after an attempt that may have run, although a repeat is not safe";
    }
    request.rejected = true;
    record_answer(request);
}

void PolicyHarness::record_answer(TrackedRequest& request) {
    EXPECT_FALSE(is_closed(request)) << "second final answer, or answer to a client that has left";
    EXPECT_LE(now, std::max(request.deadline, stalled_until)) << "final answer after the deadline";
    ++request.answers;
}

void PolicyHarness::check_send(const SendAttempt& send) {
    TrackedRequest& request = requests.at(send.id);
    const EndpointInfo& server = servers.at(send.server);
    EXPECT_FALSE(is_closed(request)) << "attempt sent after the final answer, or after the client left";
    EXPECT_LT(request.attempts.size(), settings.max_attempts) << "more attempts than max_attempts";
    EXPECT_EQ(server.state, EndpointState::active) << "attempt sent to a draining or removed server";
    check_placement(request, server);
    check_repeat(request, server);
    request.attempts.push_back({send.server, now, send.deadline > 0 ? send.deadline : request.deadline});
}

void PolicyHarness::check_placement(const TrackedRequest& request, const EndpointInfo& server) const {
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        // A request of an unknown class may belong to any of the known classes, so all their limits apply.
        const bool is_known = request.class_index < settings.classes.size();
        if (is_known && index != request.class_index) continue;
        EXPECT_TRUE(permits(settings.classes[index].zones, server.zone))
            << "class not permitted in zone " << server.zone;
        EXPECT_TRUE(permits(settings.classes[index].kinds, server.kind))
            << "class not permitted on kind " << server.kind;
    }
}

void PolicyHarness::check_repeat(const TrackedRequest& request, const EndpointInfo& server) const {
    for (const TrackedAttempt& attempt : request.attempts)
        check_repeat_of(attempt, request.request_class, server);
    const TrackedAttempt* const first = first_possible_run(request);
    if (first && request.request_class.idempotency == Idempotency::with_key) {
        EXPECT_LT(now, first->sent_at + request.request_class.dedup_window)
            << "repeated after the deduplication window";
    }
}

void PolicyHarness::check_repeat_of(const TrackedAttempt& attempt, const RequestClass& request_class,
                                    const EndpointInfo& server) const {
    if (attempt.in_flight) {
        EXPECT_TRUE(settings.may_hedge) << "two attempts in flight without may_hedge";
    }
    if (!attempt.may_have_run) return;
    EXPECT_NE(request_class.idempotency, Idempotency::never)
        << "non-idempotent request repeated after an attempt that may have run";
    if (request_class.idempotency != Idempotency::with_key) return;
    check_dedup_scope(request_class.dedup_scope, servers.at(attempt.server), server);
}

void PolicyHarness::check_dedup_scope(DedupScope scope, const EndpointInfo& before,
                                      const EndpointInfo& server) {
    if (scope == DedupScope::zone) {
        EXPECT_EQ(server.zone, before.zone) << "repeated outside the deduplication scope (zone)";
    }
    if (scope == DedupScope::cell) {
        EXPECT_EQ(server.cell, before.cell) << "repeated outside the deduplication scope (cell)";
    }
}

}  // namespace mothring::test
