/// @file
/// How many warm servers the pool has, and what they carry.
#pragma once

#include <map>
#include <optional>

#include "endpoint_set.hpp"
#include "mothring/settings.hpp"
#include "outlier_detector.hpp"
#include "zone_health.hpp"

namespace mothring {

/// A summary over all servers, renewed once in kSurveyInterval at most. It makes no pass over the whole
/// fleet: servers without completed attempts have carried nothing for this sidecar.
class CapacitySurvey {
public:
    /// @param endpoints, outliers, zones  must outlive this.
    CapacitySurvey(const EndpointSet& endpoints, const OutlierDetector& outliers, const ZoneHealth& zones)
        : endpoints_(endpoints), outliers_(outliers), zones_(zones) {}

    /// Renews the summary if it is due.
    /// @return whether it was.
    bool refresh(Millis now);

    /// Makes it due: a list has come, or a zone is out of reach.
    void invalidate() { refreshed_at_ = kLongAgo; }

    /// Warm servers in the pool: active, healthy, in a zone that is in reach.
    double warm_in_pool() const { return warm_in_pool_; }

    /// Attempts that a warm server completes for this sidecar in a millisecond, in the mean.
    double rate() const { return rate_; }

    /// The same of one kind of machine; absent: it has no warm server.
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
