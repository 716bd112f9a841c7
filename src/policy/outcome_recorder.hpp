/// @file
/// What an attempt that has ended shows, told to each part that goes by it.
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

class OutcomeRecorder {
public:
    /// The parts. All references must outlive the recorder.
    struct Parts {
        EndpointSet& endpoints;
        OutlierDetector& outliers;
        ZoneHealth& zones;
        LatencyModel& latencies;
        CapacitySurvey& survey;
        AdmissionController& admission;
    };
    explicit OutcomeRecorder(const Parts& parts) : parts_(parts) {}

    /// Takes an attempt that has ended at a server that is still known.
    void record(Endpoint& endpoint, const Request& request, const Attempt& attempt, const AttemptEnded& ended,
                Millis now, std::vector<Action>& actions);

private:
    bool is_silent(const Endpoint& endpoint, const Attempt& attempt, Outcome outcome, Millis now);
    void record_activity(Endpoint& endpoint, const Attempt& attempt, Outcome outcome, bool silent,
                         Millis now);
    void record_latency(Endpoint& endpoint, const Request& request, const AttemptEnded& ended, bool silent,
                        Millis now);

    Parts parts_;
    DecayingMean in_time_{1};  // the share of attempts that do not time out
};

}  // namespace mothring
