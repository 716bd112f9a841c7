/// @file
/// The number of warm servers that may receive requests, and the rate at which they complete attempts.
#pragma once

#include <map>
#include <optional>

#include "endpoint_set.hpp"
#include "mothring/settings.hpp"
#include "outlier_detector.hpp"
#include "zone_health.hpp"

namespace mothring {

/// Summarizes the capacity of all servers. The summary is refreshed at most once in kSurveyInterval. A
/// refresh adds up the counters of EndpointSet and visits individually only servers that have completed
/// attempts for this sidecar, are warming up or are ejected. Only while a zone is unreachable does it visit
/// all active servers.
class CapacitySurvey {
public:
    /// @param endpoints, outliers, zones  must outlive this object.
    CapacitySurvey(const EndpointSet& endpoints, const OutlierDetector& outliers, const ZoneHealth& zones)
        : endpoints_(endpoints), outliers_(outliers), zones_(zones) {}

    /// Refreshes the summary if it is older than kSurveyInterval or has been invalidated.
    /// @return whether it was refreshed.
    bool refresh(Millis now);

    /// Makes the next refresh() due at once, after a new endpoint list or the loss of a zone.
    void invalidate() { refreshed_at_ = kLongAgo; }

    /// Returns the number of warm servers that are active, healthy and in a reachable zone.
    double warm_in_pool() const { return warm_in_pool_; }

    /// Returns the mean number of attempts that a warm server completes for this sidecar in a millisecond.
    double rate() const { return rate_; }

    /// Returns the same for one kind of machine; absent if the kind has no warm server.
    std::optional<double> rate_of(KindId kind) const;

private:
    double count_warm_in_pool(double warm, Millis now) const;

    const EndpointSet& endpoints_;
    const OutlierDetector& outliers_;
    const ZoneHealth& zones_;
    double warm_in_pool_ = 0;
    double rate_ = 0;
    std::map<KindId, double> rates_;
    Millis refreshed_at_ = kLongAgo;
};

}  // namespace mothring
