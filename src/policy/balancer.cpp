/// @file
/// Implements Balancer as a facade over the modules of the policy. The facade passes each event to the
/// modules that it concerns. The order of these calls is part of the contract: equal events must give equal
/// actions, and the modules share one random generator.
///
/// The course of a request: RequestArrived adds the request to the request table. route() ends the request if
/// it is hopeless; otherwise it asks the admission controller for capacity and the endpoint selector for a
/// server, and dispatches an attempt. A request for which no server is available waits for a short time.
/// AttemptEnded passes the outcome to the outcome recorder, and then the request is either routed again or
/// receives its final answer.
#include "mothring/balancer.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "admission_controller.hpp"
#include "attempt_rules.hpp"
#include "capacity_survey.hpp"
#include "discovery_backoff.hpp"
#include "endpoint_selector.hpp"
#include "endpoint_set.hpp"
#include "fleet_share.hpp"
#include "latency_model.hpp"
#include "outcome_classes.hpp"
#include "outcome_recorder.hpp"
#include "outlier_detector.hpp"
#include "random.hpp"
#include "request_table.hpp"
#include "retry_budget.hpp"
#include "settings_validation.hpp"
#include "slow_start.hpp"
#include "tenant_quotas.hpp"
#include "zone_health.hpp"

namespace mothring {

namespace {

/// The longest wait for capacity, as a share of the request's latency objective. After that time a retry by
/// the client is more useful than a longer wait.
constexpr double kMaxWaitShareOfObjective = 1.0 / 16;

/// The zone and the cell of a server that is not known.
constexpr ZoneId kNoZone = ~ZoneId{0};
constexpr std::uint32_t kNoCell = ~0U;

Settings validated(Settings settings) {
    validate(settings);
    return settings;
}

}  // namespace

struct Balancer::Impl {
    Impl(Settings given, std::uint64_t seed)
        : settings(validated(std::move(given))), random(seed), discovery_backoff(settings.fleet_size) {}

    void on(const Started& event);
    void on(const EndpointList& list);
    void on(const RequestArrived& event);
    void on(const BodyComplete& event);
    void on(const BodyDiscarded& event);
    void on(const ResponseStarted& event);
    void on(const ResponseStalled& event);
    void on(const AttemptEnded& event);
    void on(const ClientDisconnected& event);
    void on(const TimerFired& event);
    void on(const ProcessOverlap& event) { fleet.set_overlap(event.overlapping); }
    void on(const MemberView& view) { fleet.set_members(view); }
    void on(const HealthCheckEnded&) {}
    void on(const PeerMessage&) {}

    void handle_list_failure(const EndpointList& failed);
    void classify(Request& request, const RequestArrived& event);
    std::optional<Attempt> earlier_attempt(const RequestArrived& event) const;
    void route(Request& request);
    Endpoint* select(const Request& request);
    void dispatch(Request& request, Endpoint& endpoint);
    bool may_wait(const Request& request) const;
    void wait_for_capacity(Request& request);
    void release_waiting();
    void finish(Request& request);
    void cancel_attempts(const Request& request);
    void set_timer(Millis at, std::optional<RequestId> request);
    std::size_t count_unavailable() const;
    void emit(const auto& action) { actions->emplace_back(action); }

    const Settings settings;
    Random random;
    Millis now = 0;
    std::vector<Action>* actions = nullptr;  // the output of the event that is being handled

    std::uint64_t hopeless = 0;  // the number of requests that ended because their response would be late

    RequestTable requests;
    EndpointSet endpoints{settings};
    ZoneHealth zones;
    LatencyModel latencies;
    FleetShare fleet{settings};
    RetryBudget retry_budget;
    TenantQuotas quotas{settings};
    DiscoveryBackoff discovery_backoff;
    OutlierDetector outliers{settings, endpoints};
    CapacitySurvey survey{endpoints, outliers, zones};
    SlowStart slow_start{settings, survey, latencies, fleet};
    AttemptRules rules{settings, slow_start};
    AdmissionController admission{settings, survey, fleet};
    EndpointSelector selector{{settings, endpoints, outliers, zones, latencies, rules, random}};
    OutcomeRecorder outcomes{{endpoints, outliers, zones, latencies, survey, admission}};
};

// ---- Endpoints ------------------------------------------------------------------------------------------

void Balancer::Impl::on(const Started&) {
    if (settings.must_subscribe) emit(Subscribe{true});
}

void Balancer::Impl::on(const EndpointList& list) {
    if (list.kind == ListKind::failed) return handle_list_failure(list);
    if (list.kind != ListKind::cached) {
        discovery_backoff.reset();
        endpoints.set_stale_at(kNever);
    }
    if (list.kind != ListKind::incremental) endpoints.unlist_all();
    for (const EndpointInfo& info : list.servers) {
        const EndpointSet::Update update = endpoints.update(info);
        if (!update.is_new_process) continue;
        SlowStart::reset(update.endpoint, random, now);
        outliers.reset(update.endpoint);
    }
    for (const ServerId gone : endpoints.update_indexes(list, now)) outliers.forget(gone);
    survey.invalidate();
    release_waiting();
}

void Balancer::Impl::handle_list_failure(const EndpointList& failed) {
    // The platform requires that a sidecar renews a broken subscription within Settings::resubscribe_within.
    // After that time the sidecar counts as notified of every drain, and each attempt at a draining server
    // violates the platform's requirements.
    const Millis max_wait =
        settings.resubscribe_within > 0 ? settings.resubscribe_within : DiscoveryBackoff::kMaxWait;
    const Millis wait = discovery_backoff.wait_after(failed, now, random);
    set_timer(now + std::min(wait, max_wait), std::nullopt);
    if (failed.notified_within) endpoints.set_stale_at(now + *failed.notified_within);
}

// ---- Requests -------------------------------------------------------------------------------------------

void Balancer::Impl::on(const RequestArrived& event) {
    Request* const request = requests.add(event.id);
    if (!request) return;
    classify(*request, event);
    const Millis objective = request->request_class.latency_objective;
    if (!request->is_retry) admission.record_demand(objective, now);
    request->deadline = event.body_incomplete ? kNever : now + std::max(0.0, event.time_left);
    request->wait_until = std::min(request->deadline, now + objective * kMaxWaitShareOfObjective);
    retry_budget.deposit();
    if (!event.body_incomplete) set_timer(request->deadline, request->id);
    route(*request);
}

void Balancer::Impl::classify(Request& request, const RequestArrived& event) {
    request.class_index = event.class_index;
    request.is_retry = event.is_retry;
    request.affinity_hash = event.affinity_hash;
    request.earlier_attempt = earlier_attempt(event);
    RequestClass& request_class = request.request_class;
    if (event.class_index < settings.classes.size()) {
        request_class = settings.classes[event.class_index];
    } else {
        // Nothing is known about an unknown class, so its requests are treated as non-idempotent.
        request_class.idempotency = Idempotency::never;
        request_class.latency_objective = std::max(1.0, event.time_left);
    }
    request_class.latency_objective += request_class.objective_per_effort * std::max(0.0, event.effort);
    request.over_quota = quotas.is_over_quota(event.tenant, random, now);
}

/// Returns the earlier attempt of a request. A server that is not known is in no zone and no cell.
std::optional<Attempt> Balancer::Impl::earlier_attempt(const RequestArrived& event) const {
    if (!event.earlier_attempt) return std::nullopt;
    Attempt attempt{{}, now - event.earlier_attempt->age};
    attempt.in_flight = false;
    attempt.server.zone = kNoZone;
    attempt.server.cell = kNoCell;
    for (const auto& [id, endpoint] : endpoints.all())
        if (endpoint.info.name_hash == event.earlier_attempt->server_name_hash)
            attempt.server = endpoint.info;
    return attempt;
}

/// Sends the request to a server, queues it until there is capacity, or sends its final answer.
void Balancer::Impl::route(Request& request) {
    admission.update_means(now);
    if (!request.is_in_flight() && admission.is_hopeless(request, now)) {
        ++hopeless;
        return finish(request);
    }
    admission.refresh_capacity(now);
    if (Endpoint* const endpoint = select(request)) return dispatch(request, *endpoint);
    if (request.is_in_flight()) return;
    if (!may_wait(request)) return finish(request);
    wait_for_capacity(request);
}

Endpoint* Balancer::Impl::select(const Request& request) {
    const bool admitted = admission.may_admit(request);
    if (admitted) {
        if (Endpoint* const endpoint = selector.select_for_trial(request, now)) return endpoint;
    }
    if (request.affinity_hash != 0) {
        if (Endpoint* const endpoint = selector.select_by_affinity(request, admitted, now)) return endpoint;
    }
    return selector.select(request, admitted, admission.in_flight(), now);
}

void Balancer::Impl::dispatch(Request& request, Endpoint& endpoint) {
    const bool is_trial = !endpoint.is_healthy();
    const bool to_warming_up = endpoints.is_warming_up(endpoint, now);
    if (is_trial) OutlierDetector::begin_trial(endpoint);
    if (to_warming_up)
        SlowStart::take_token(endpoint);
    else
        admission.attempt_started();
    if (!request.attempts.empty()) retry_budget.withdraw();
    if (endpoint.in_flight == 0) endpoint.activity.unresponsive_since = now;
    ++endpoint.in_flight;
    endpoints.join_subset(endpoint);
    admission.record_sent(request.class_index, now);

    // A connection may take long to be established. A repeated attempt must reach its server before the
    // deduplication window ends, because the server drops the repeat only within that window.
    const RequestClass& request_class = request.request_class;
    const Attempt* const first =
        request_class.idempotency == Idempotency::with_key ? request.first_possible_run() : nullptr;
    const Millis send_by = first ? first->sent_at + request_class.dedup_window : request.deadline;
    request.attempts.push_back({endpoint.info, now, true, true, is_trial, to_warming_up});
    emit(SendAttempt{request.id, endpoint.info.id, request.deadline, std::min(send_by, request.deadline)});
}

bool Balancer::Impl::may_wait(const Request& request) const {
    if (now >= request.wait_until || request.body_discarded) return false;
    if (request.attempts.size() >= settings.max_attempts) return false;
    return !request.first_possible_run() || request.request_class.idempotency != Idempotency::never;
}

/// Queues the request until there is capacity. A timer ends the wait at wait_until.
void Balancer::Impl::wait_for_capacity(Request& request) {
    requests.enqueue(request.id);
    if (request.has_wait_timer) return;
    request.has_wait_timer = true;
    set_timer(request.wait_until, request.id);
}

void Balancer::Impl::release_waiting() {
    if (!requests.has_waiting() || admission.is_limit_reached()) return;
    for (const RequestId id : requests.take_waiting()) route(*requests.find(id));
}

void Balancer::Impl::on(const BodyComplete& event) {
    Request* const request = requests.find(event.id);
    if (!request) return;
    request->deadline = now + std::max(0.0, event.time_left);
    set_timer(request->deadline, event.id);
}

void Balancer::Impl::on(const BodyDiscarded& event) {
    if (Request* const request = requests.find(event.id)) request->body_discarded = true;
}

void Balancer::Impl::on(const ResponseStarted& event) {
    Request* const request = requests.find(event.id);
    if (request && event.attempt < request->attempts.size()) request->response_started = true;
}

void Balancer::Impl::on(const ResponseStalled& event) {
    Request* const request = requests.find(event.id);
    if (!request || event.attempt >= request->attempts.size()) return;
    Attempt& attempt = request->attempts[event.attempt];
    if (!attempt.in_flight || attempt.has_stalled) return;
    admission.update_means(now);
    if (attempt.is_under_admission_limit()) admission.attempt_ended();
    attempt.has_stalled = true;
    release_waiting();
}

void Balancer::Impl::on(const AttemptEnded& event) {
    Request* const request = requests.find(event.id);
    if (!request || event.attempt >= request->attempts.size()) return;
    Attempt& attempt = request->attempts[event.attempt];
    if (!attempt.in_flight) return;
    attempt.in_flight = false;
    attempt.may_have_run = !proves_never_ran(event.outcome, settings);
    admission.update_means(now);
    if (attempt.is_under_admission_limit()) admission.attempt_ended();
    const ServerId server = attempt.server.id;
    if (Endpoint* const endpoint = endpoints.find(server)) {
        outcomes.record(*endpoint, *request, attempt, event, now, *actions);
        if (endpoints.erase_if_unused(server)) outliers.forget(server);
    }
    if (event.request_ended) request->has_final_answer = true;
    if (request->has_final_answer) requests.mark_finished(event.id);

    const bool is_in_flight = request->is_in_flight();
    if (now >= request->deadline || (!is_in_flight && retry_budget.is_exhausted()))
        finish(*request);
    else if (!request->has_final_answer && !is_in_flight)
        route(*request);
    release_waiting();
}

void Balancer::Impl::on(const ClientDisconnected& event) {
    Request* const request = requests.find(event.id);
    if (!request) return;
    cancel_attempts(*request);
    request->has_final_answer = true;
    requests.mark_finished(event.id);
}

/// Sends the request's final answer: a rejection if AttemptRules permits one, otherwise a failure.
void Balancer::Impl::finish(Request& request) {
    if (request.has_final_answer || request.response_started) return;
    cancel_attempts(request);
    if (rules.may_reject(request, now))
        emit(RejectRequest{request.id, settings.max_retry_after});
    else
        emit(FailRequest{request.id});
    request.has_final_answer = true;
    requests.mark_finished(request.id);
}

void Balancer::Impl::cancel_attempts(const Request& request) {
    if (!settings.may_cancel) return;
    for (std::uint32_t i = 0; i < request.attempts.size(); ++i)
        if (request.attempts[i].in_flight) emit(CancelAttempt{request.id, i});
}

// ---- Timers ---------------------------------------------------------------------------------------------

void Balancer::Impl::set_timer(Millis at, std::optional<RequestId> request) {
    emit(SetTimer{at, requests.add_timer(request)});
}

void Balancer::Impl::on(const TimerFired& event) {
    const std::optional<RequestTable::Timer> timer = requests.take_timer(event.token);
    if (!timer) return;
    if (!timer->request) return emit(Subscribe{true});
    Request* const request = requests.find(*timer->request);
    if (!request || request->has_final_answer) return;
    if (now >= request->deadline)
        finish(*request);
    else if (!request->is_in_flight())
        route(*request);
}

// ---- Public interface -----------------------------------------------------------------------------------

std::size_t Balancer::Impl::count_unavailable() const {
    const auto is_unavailable = [&](const auto& entry) {
        const Endpoint& endpoint = entry.second;
        if (!endpoint.listed) return false;
        return !endpoint.is_active() || !endpoint.is_healthy() || zones.is_unreachable(endpoint.info, now);
    };
    const EndpointSet::Map& all = endpoints.all();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), is_unavailable));
}

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->now = std::max(impl_->now, now);
    impl_->actions = &actions;
    std::visit([this](const auto& happened) { impl_->on(happened); }, event);
    impl_->requests.forget_finished();
}

Balancer::Gauges Balancer::gauges() const {
    return {impl_->requests.size(), impl_->endpoints.all().size(), impl_->requests.timers(),
            impl_->count_unavailable(), impl_->hopeless};
}

}  // namespace mothring
