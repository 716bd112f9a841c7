/// @file
/// Passes the outcome of each attempt to the modules that depend on it.
#pragma once

#include <vector>

#include "admission_controller.hpp"
#include "capacity_survey.hpp"
#include "endpoint_set.hpp"
#include "latency_model.hpp"
#include "mothring/actions.hpp"
#include "mothring/events.hpp"
#include "outlier_detector.hpp"
#include "request.hpp"
#include "zone_health.hpp"

namespace mothring {

/// Updates the server's activity record and the latency, admission, zone health and outlier modules with the
/// outcome of each attempt.
class OutcomeRecorder {
public:
    /// The modules to update. All references must outlive the recorder.
    struct Parts {
        EndpointSet& endpoints;
        OutlierDetector& outliers;
        ZoneHealth& zones;
        LatencyModel& latencies;
        CapacitySurvey& survey;
        AdmissionController& admission;
    };
    explicit OutcomeRecorder(const Parts& parts) : parts_(parts) {}

    /// Records an attempt that has ended at a server that is still known.
    void record(Endpoint& endpoint, const Request& request, const Attempt& attempt, const AttemptEnded& ended,
                Millis now, std::vector<Action>& actions);

private:
    bool is_silent(const Endpoint& endpoint, const Attempt& attempt, Outcome outcome, Millis now);
    void record_activity(Endpoint& endpoint, const Attempt& attempt, Outcome outcome, bool silent,
                         Millis now);
    void record_latency(Endpoint& endpoint, const Request& request, const AttemptEnded& ended, bool silent,
                        Millis now);

    Parts parts_;
    DecayingMean in_time_share_{1};  // the recent share of attempts that did not time out
};

}  // namespace mothring
