#include "capacity_survey.hpp"

#include <algorithm>

namespace mothring {

namespace {

/// Shorter than the time in which the warm-up or the load of a server changes noticeably.
constexpr Millis kSurveyInterval = 100;

struct KindSummary {
    double completed = 0;
    double warm_servers = 0;
};

}  // namespace

bool CapacitySurvey::refresh(Millis now) {
    if (now < refreshed_at_ + kSurveyInterval) return false;
    refreshed_at_ = now;

    std::map<KindId, KindSummary> kinds;
    double warm = 0;
    for (const auto& [kind, count] : endpoints_.active_by_kind()) {
        kinds[kind].warm_servers = count;
        warm += count;
    }
    for (const Endpoint* endpoint : endpoints_.warming_up()) {
        if (!endpoints_.is_warming_up(*endpoint, now)) continue;
        --kinds[endpoint->info.kind].warm_servers;
        --warm;
    }
    double completed = 0;
    for (const Endpoint* endpoint : endpoints_.with_completions()) {
        if (!endpoints_.is_active_and_warm(*endpoint, now)) continue;
        const double completed_there = endpoint->completed.value_at(now);
        completed += completed_there;
        kinds[endpoint->info.kind].completed += completed_there;
    }

    warm_in_pool_ = count_warm_in_pool(warm, now);
    rate_ = completed / std::max(1.0, warm) / kRateWindow;
    rates_.clear();
    for (const auto& [kind, summary] : kinds) {
        if (summary.warm_servers <= 0) continue;
        rates_[kind] = summary.completed / summary.warm_servers / kRateWindow;
    }
    return true;
}

double CapacitySurvey::count_warm_in_pool(double warm, Millis now) const {
    for (const ServerId id : outliers_.ejected())
        warm -= endpoints_.is_active_and_warm(endpoints_.at(id), now);
    if (!zones_.any_unreachable(now)) return warm;
    for (const Endpoint* endpoint : endpoints_.active()) {
        const bool in_pool = endpoint->is_healthy() && !endpoints_.is_warming_up(*endpoint, now);
        warm -= in_pool && zones_.is_unreachable(endpoint->info, now);
    }
    return warm;
}

std::optional<double> CapacitySurvey::rate_of(KindId kind) const {
    const auto entry = rates_.find(kind);
    return entry == rates_.end() ? std::nullopt : std::optional(entry->second);
}

}  // namespace mothring
