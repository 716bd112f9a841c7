/// @file
/// Admission control: limits the attempts in flight and decides which requests are admitted under the limit.
#pragma once

#include <cstdint>
#include <map>

#include "capacity_survey.hpp"
#include "fleet_share.hpp"
#include "mothring/settings.hpp"
#include "request.hpp"
#include "statistics.hpp"

namespace mothring {

/// A concurrency limit that adapts to latency, with load shedding by priority.
///
/// By Little's law, a limit on the attempts in flight also limits the time that they take. The limit follows
/// the relative latency (the duration of responses as a share of their latency objectives). Errors are
/// ignored, because they do not indicate overload. The limit grows only while at least half of it is used,
/// and a reduction starts from at most twice the number of attempts in flight. Attempts at servers that are
/// warming up have limits of their own (SlowStart) and do not count here.
class AdmissionController {
public:
    /// All references must outlive this object.
    AdmissionController(const Settings& settings, CapacitySurvey& survey, const FleetShare& fleet);

    /// Adds a request that is not a client's retry to the demand.
    void record_demand(Millis latency_objective, Millis now) { demand_.add(latency_objective, now); }

    /// Returns whether there is capacity for the request. The class with the highest weight may fill the
    /// limit; other classes leave part of it free. Clients' retries may only use the part that is open to
    /// every class; requests over a tenant's quota may use more only as far as Settings::over_quota_weight
    /// allows.
    bool may_admit(const Request& request) const;

    /// Returns whether the response is expected after the request's deadline. Sending such a request would
    /// only load the servers. The expectation needs several recent responses of the class. If no attempt of
    /// the class has been sent for a while, one is allowed, so that a change of the servers' latency is seen.
    bool is_hopeless(const Request& request, Millis now) const;

    /// Lowers the limit if the number of warm servers has dropped sharply, e.g. after the loss of a zone. All
    /// requests then go to the remaining servers at once, and late responses would lower the limit too late.
    void refresh_capacity(Millis now);

    /// Updates the means of the attempts in flight. Must be called before their number changes or the means
    /// are used.
    void update_means(Millis now);
    void attempt_started() { ++in_flight_; }
    void attempt_ended() { --in_flight_; }
    /// Records that an attempt of this class is sent, to any server.
    void record_sent(std::uint32_t class_index, Millis now) { latencies_[class_index].sent_at = now; }

    /// Records the relative latency of an attempt.
    void record_relative_latency(double relative_latency, Millis now);
    /// Records the duration of a completed attempt.
    void record_completion(std::uint32_t class_index, Millis duration, Millis now);

    bool is_limit_reached() const { return in_flight_ >= limit_; }
    /// Returns the number of attempts in flight, or their recent mean if that is higher.
    double in_flight() const;

private:
    /// The time constant of the durations of completed attempts.
    static constexpr Millis kDurationWindow = 4 * kRateWindow;

    /// The latency of a class of requests.
    struct ClassLatency {
        DecayingMean duration;                 // of completed attempts
        DecayingSum samples{kDurationWindow};  // the number of completed attempts
        Millis sent_at = kLongAgo;             // the time at which an attempt was sent last
    };

    double min_limit(Millis now) const;

    const Settings& settings_;
    CapacitySurvey& survey_;
    const FleetShare& fleet_;
    double highest_weight_;
    Millis shortest_objective_;
    double limit_;
    int in_flight_ = 0;
    double mean_in_flight_ = 0;        // with the time constant kRateWindow
    double short_mean_in_flight_ = 0;  // with a time constant of a few latency objectives
    Millis means_updated_at_ = 0;
    DecayingSum demand_{kRateWindow};  // the latency objectives of requests that are not retries
    MeanWithError relative_latency_{kMeanSamples};
    std::map<std::uint32_t, ClassLatency> latencies_;  // by class
};

}  // namespace mothring
