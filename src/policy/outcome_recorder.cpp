#include "outcome_recorder.hpp"

#include <algorithm>

#include "outcome_classes.hpp"

namespace mothring {

namespace {

/// The upper bound of a relative latency. It is also recorded for overload, and for a timeout that is not
/// attributed to a dead server.
constexpr double kMaxRelativeLatency = 1.5;
/// The share of attempts that must end in time for a timeout to be attributed to one server. Below this share
/// most attempts time out, so the cause is shared slowness and not a dead server.
constexpr double kMinShareInTime = 0.5;

}  // namespace

void OutcomeRecorder::record(Endpoint& endpoint, const Request& request, const Attempt& attempt,
                             const AttemptEnded& ended, Millis now, std::vector<Action>& actions) {
    --endpoint.in_flight;
    const Outcome outcome = ended.outcome;
    const bool silent = is_silent(endpoint, attempt, outcome, now);
    record_activity(endpoint, attempt, outcome, silent, now);
    record_latency(endpoint, request, ended, silent, now);
    if (outcome == Outcome::completed) {
        parts_.endpoints.record_completion(endpoint, now);
        parts_.admission.record_completion(request.class_index, ended.duration, now);
    }
    const bool late = ended.duration > request.request_class.latency_objective &&
                      !parts_.endpoints.is_warming_up(endpoint, now);
    const OutlierDetector::Result result{outcome, late, silent};
    if (endpoint.is_healthy() && result.is_unreachable(request, now) &&
        parts_.zones.record_unreachable(endpoint.info, now))
        parts_.survey.invalidate();
    parts_.outliers.record(endpoint, request, attempt, result, now, actions);
}

// Returns whether the attempt timed out and the server has sent no response since the attempt was sent. That
// indicates a dead server or a lost network path, unless most attempts time out.
bool OutcomeRecorder::is_silent(const Endpoint& endpoint, const Attempt& attempt, Outcome outcome,
                                Millis now) {
    const bool timed_out = outcome == Outcome::timed_out;
    in_time_share_.add(timed_out ? 0.0 : 1.0, now, kMeanSamples, kRateWindow);
    return timed_out && endpoint.activity.responded_at < attempt.sent_at &&
           in_time_share_.value() > kMinShareInTime;
}

void OutcomeRecorder::record_activity(Endpoint& endpoint, const Attempt& attempt, Outcome outcome,
                                      bool silent, Millis now) {
    Activity& activity = endpoint.activity;
    if (is_response(outcome)) {
        activity.responded_at = now;
        activity.unresponsive_since = now;
        parts_.zones.record_response(endpoint.info);
    }
    if (outcome == Outcome::completed) activity.accepted_at = std::max(activity.accepted_at, attempt.sent_at);
    if (silent || may_mean_departure(outcome)) activity.suspected_at = now;
}

// Records the relative latency of completed attempts and of attempts that met an overloaded server. Other
// failures say nothing about the server's latency.
void OutcomeRecorder::record_latency(Endpoint& endpoint, const Request& request, const AttemptEnded& ended,
                                     bool silent, Millis now) {
    double relative_latency = kMaxRelativeLatency;
    if (ended.outcome == Outcome::completed) {
        const double latency = ended.duration / request.request_class.latency_objective;
        relative_latency = std::min(kMaxRelativeLatency, latency);
    } else if (ended.outcome == Outcome::timed_out ? silent : ended.outcome != Outcome::overloaded) {
        return;
    }
    parts_.latencies.record(endpoint, relative_latency, now);
    if (parts_.endpoints.is_warming_up(endpoint, now))
        parts_.latencies.record_warming_up(relative_latency, now);
    else
        parts_.admission.record_relative_latency(relative_latency, now);
}

}  // namespace mothring
