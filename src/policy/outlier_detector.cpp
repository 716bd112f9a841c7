#include "outlier_detector.hpp"

#include <algorithm>
#include <cmath>

#include "outcome_classes.hpp"
#include "placement.hpp"

namespace mothring {

namespace {

/// A server whose success rate is below this is ejected (io.l5d.successRate as its authors describe it).
constexpr double kSuccessThreshold = 0.9;
/// Standard errors by which the rate has to be below that of the others.
constexpr double kStandardErrors = 3;

bool is_success(const OutlierDetector::Result& result) {
    return result.outcome == Outcome::completed && !result.late;
}

/// Lateness and a full queue tell nothing of one server where all are crowded.
bool is_failure_of_its_own(const OutlierDetector::Result& result) {
    if (result.outcome == Outcome::timed_out) return result.silent;
    return result.outcome != Outcome::completed && result.outcome != Outcome::overloaded;
}

}  // namespace

void OutlierDetector::record(Endpoint& endpoint, const Request& request, const Attempt& attempt,
                             const Result& result, Millis now, std::vector<Action>& actions) {
    OutlierRecord& record = endpoint.outlier;
    if (record.health == Health::half_open && attempt.is_trial)
        return record_trial(endpoint, result, now, actions);
    if (!is_attributable_to_server(result.outcome) || !endpoint.is_healthy()) return;
    // Whoever meets a server seldom fills no window: where others have responded since, it is the server's
    // doing, and one attempt that found nobody is enough.
    if (result.is_unreachable(request, now) && others_responded_since(endpoint, attempt.sent_at))
        return eject(endpoint, now, actions);
    if (result.outcome == Outcome::overloaded || result.outcome == Outcome::connect_failed)
        EndpointSet::leave_subset(endpoint);

    const std::uint32_t class_index = request.class_index;
    const bool success = is_success(result);
    record.window.add(class_index, success);
    if (success) record.avoided_until.erase(class_index);
    // Where traffic is thin, or a server fails one class only, that class's part of the window is read as it
    // stands, and the class alone avoids the server.
    const bool others_succeed =
        record.window.success_rate_without(class_index, kPriorResponses) >= kSuccessThreshold;
    if (is_failure_of_its_own(result) && (others_succeed || !record.window.is_full()) &&
        record.window.success_rate_of(class_index) < kSuccessThreshold)
        record.avoided_until[class_index] = now + kEjectionTime;
    if (!success && !others_succeed && is_below_threshold(endpoint) && may_eject(endpoint))
        eject(endpoint, now, actions);
}

void OutlierDetector::record_trial(Endpoint& endpoint, const Result& result, Millis now,
                                   std::vector<Action>& actions) {
    if (!is_attributable_to_server(result.outcome)) {
        endpoint.outlier.health = Health::ejected;  // undecided: the next request is the trial
        return;
    }
    if (is_success(result))
        restore(endpoint, actions);
    else
        eject(endpoint, now, actions);
}

void OutlierDetector::eject(Endpoint& endpoint, Millis now, std::vector<Action>& actions) {
    const Millis until = now + kEjectionTime;
    if (endpoint.is_healthy()) actions.emplace_back(EndpointEjected{endpoint.info.id, until});
    endpoint.outlier.health = Health::ejected;
    endpoint.outlier.ejected_until = until;
    EndpointSet::leave_subset(endpoint);
    ejected_.insert(endpoint.info.id);
}

void OutlierDetector::restore(Endpoint& endpoint, std::vector<Action>& actions) {
    endpoint.outlier.health = Health::healthy;
    endpoint.outlier.window.clear();
    ejected_.erase(endpoint.info.id);
    actions.emplace_back(EndpointRestored{endpoint.info.id});
}

void OutlierDetector::reset(Endpoint& endpoint) {
    endpoint.outlier.health = Health::healthy;
    endpoint.outlier.window.clear();
    endpoint.outlier.avoided_until.clear();
    ejected_.erase(endpoint.info.id);
}

bool OutlierDetector::is_avoided_by(std::uint32_t class_index, const Endpoint& endpoint, Millis now) {
    const auto& avoided_until = endpoint.outlier.avoided_until;
    const auto entry = avoided_until.find(class_index);
    return entry != avoided_until.end() && now < entry->second;
}

// Shared slowness makes every server fail, and ejecting them all would make it an outage. So a server is
// compared with the others: it is ejected below the threshold times their success rate, less some standard
// errors of a window with that rate. A window not yet full is judged as if the rest were successes.
bool OutlierDetector::is_below_threshold(const Endpoint& endpoint) const {
    const SuccessWindow& window = endpoint.outlier.window;
    const double unfilled = static_cast<double>(kWindowSize - window.size());
    const double rate = (window.successes() + unfilled) / kWindowSize;
    if (rate >= kSuccessThreshold) return false;  // whatever the others do
    const double others = success_rate_of_others(endpoint);
    const double error = std::sqrt(others * (1 - others) / static_cast<double>(kWindowSize));
    return rate < kSuccessThreshold * others - kStandardErrors * error;
}

// Of the healthy servers; 1 where they have no outcome yet.
double OutlierDetector::success_rate_of_others(const Endpoint& endpoint) const {
    double successes = 0;
    double all = 0;
    for (const auto& [id, other] : endpoints_.all()) {
        if (&other == &endpoint || !other.is_healthy()) continue;
        successes += other.outlier.window.successes();
        all += static_cast<double>(other.outlier.window.size());
    }
    return all > 0 ? successes / all : 1;
}

bool OutlierDetector::others_responded_since(const Endpoint& endpoint, Millis since) const {
    const EndpointSet::Map& all = endpoints_.all();
    return std::any_of(all.begin(), all.end(), [&](const auto& entry) {
        const Endpoint& other = entry.second;
        return &other != &endpoint && other.is_healthy() && other.activity.responded_at > since;
    });
}

// Panic threshold: half of the listed servers stay in the pool, whatever their windows say; for each class,
// half of those open to it.
bool OutlierDetector::may_eject(const Endpoint& endpoint) const {
    for (std::uint32_t class_index = 0; class_index < settings_.classes.size(); ++class_index) {
        if (!placement_allows(settings_, class_index, endpoint.info)) continue;
        std::size_t listed = 0;
        std::size_t ejected = 0;
        for (const auto& [id, other] : endpoints_.all()) {
            if (!other.listed || !placement_allows(settings_, class_index, other.info)) continue;
            ++listed;
            ejected += !other.is_healthy();
        }
        if (2 * (ejected + 1) > listed) return false;
    }
    return true;
}

}  // namespace mothring
