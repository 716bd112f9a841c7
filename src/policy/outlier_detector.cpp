#include "outlier_detector.hpp"

#include <algorithm>
#include <cmath>

#include "outcome_classes.hpp"
#include "placement.hpp"

namespace mothring {

namespace {

/// The success rate below which a server is ejected. The value follows the description of io.l5d.successRate
/// by its authors.
constexpr double kSuccessThreshold = 0.9;
/// The number of standard errors by which a server's rate must be below that of the other servers.
constexpr double kStandardErrors = 3;

bool is_success(const OutlierDetector::Result& result) {
    return result.outcome == Outcome::completed && !result.late;
}

/// Returns whether the failure points to this server. Late responses and rejections for lack of capacity do
/// not, because they occur at every server when the whole pool is overloaded.
bool is_server_specific_failure(const OutlierDetector::Result& result) {
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
    // A sidecar that seldom uses a server never fills its window. If other servers have responded since the
    // attempt was sent, the path from this sidecar works and the fault is the server's, so one attempt that
    // could not reach it is enough to eject it.
    if (result.is_unreachable(request, now) && others_responded_since(endpoint, attempt.sent_at))
        return eject(endpoint, now, actions);
    if (result.outcome == Outcome::overloaded || result.outcome == Outcome::connect_failed)
        EndpointSet::leave_subset(endpoint);

    const std::uint32_t class_index = request.class_index;
    const bool success = is_success(result);
    record.window.add(class_index, success);
    if (success) record.avoided_until.erase(class_index);
    // With little traffic, or if a server fails one class only, the class's own part of the window is judged
    // without a comparison, and only this class avoids the server.
    const bool others_succeed =
        record.window.success_rate_without(class_index, kPriorResponses) >= kSuccessThreshold;
    if (is_server_specific_failure(result) && (others_succeed || !record.window.is_full()) &&
        record.window.success_rate_of(class_index) < kSuccessThreshold)
        record.avoided_until[class_index] = now + kEjectionTime;
    if (!success && !others_succeed && is_below_threshold(endpoint) && may_eject(endpoint))
        eject(endpoint, now, actions);
}

void OutlierDetector::record_trial(Endpoint& endpoint, const Result& result, Millis now,
                                   std::vector<Action>& actions) {
    if (!is_attributable_to_server(result.outcome)) {
        endpoint.outlier.health = Health::ejected;  // the trial had no result; the next request repeats it
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

// Returns whether the server's success rate is low compared with the other servers. When all servers are
// slow, every rate is low, and ejecting them all would turn the slowness into an outage. A server is
// therefore ejected only if its rate is below the threshold times the others' rate, minus kStandardErrors
// standard errors of a window with that rate. The missing entries of a window that is not full count as
// successes.
bool OutlierDetector::is_below_threshold(const Endpoint& endpoint) const {
    const SuccessWindow& window = endpoint.outlier.window;
    const double unfilled = static_cast<double>(kWindowSize - window.size());
    const double rate = (window.successes() + unfilled) / kWindowSize;
    if (rate >= kSuccessThreshold) return false;  // high enough without a comparison
    const double others = success_rate_of_others(endpoint);
    const double error = std::sqrt(others * (1 - others) / static_cast<double>(kWindowSize));
    return rate < kSuccessThreshold * others - kStandardErrors * error;
}

// Returns the success rate of the other healthy servers, or 1 if they have no outcomes yet.
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

// Panic threshold: at least half of the listed servers stay in the pool, whatever their success rates. The
// same holds for each class and the servers that are open to it.
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
