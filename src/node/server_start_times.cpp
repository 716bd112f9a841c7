#include "node/server_start_times.hpp"

#include <algorithm>
#include <cmath>

#include "config/config.hpp"

namespace mothring::node {

namespace {

/// A start that is ahead of the clocks by at most this time counts as just now: the clocks are read one after
/// another and reports are in whole milliseconds.
constexpr Millis kClockTolerance = 50;
/// The least time between the starts of two incarnations, so that they stay distinguishable.
constexpr Millis kMinIncarnationGap = 1;
/// A server that has been off the list for longer is dated again when it returns. The time is long
/// compared with outages of a zone or of discovery.
constexpr Millis kRetentionTime = 600000;

/// Stands for the age of a start that can't be dated; less than any real age.
constexpr Millis kUnknownAge = -1;

/// Returns the age that a report implies, or kUnknownAge if the report is not plausible. The lesser of the
/// ages by two clocks counts, as a step could make a server appear older by either clock alone: by the wall
/// clock if only this machine's was stepped, by the sidecar's own clock if all machines' wall clocks were.
Millis reported_age(Millis reported, const ServerStartTimes::Moment& moment) {
    const Millis latest = std::max(moment.wall, moment.now) + kClockTolerance;
    if (reported < 0 || reported > latest) return kUnknownAge;
    return std::max(0.0, std::min(moment.wall, moment.now) - reported);
}

}  // namespace

ServerStartTimes::Start ServerStartTimes::start_of(const std::string& server, Millis reported,
                                                   const Moment& moment) {
    if (!std::isfinite(reported)) reported = config::kUnreadableStart;
    const auto known = records_.find(server);
    const bool is_new = known == records_.end();
    if (is_new && reported == 0) return {};
    if (!is_new) {
        Record& record = known->second;
        record.unlisted_at.reset();
        if (reported == 0 || reported == record.reported) return {record.at, record.is_dated, false};
    }
    const Start start = date(is_new ? nullptr : &known->second, reported, moment);
    records_[server] = {reported, start.at, start.is_dated, std::nullopt};
    return start;
}

/// A server that appears in a watched list must have started after the previous response, which did not name
/// it. Without such a bound, a reported start before the known one can't be dated.
ServerStartTimes::Start ServerStartTimes::date(const Record* previous, Millis reported,
                                               const Moment& moment) {
    Millis age = reported_age(reported, moment);
    if (age >= 0 && moment.since_response) age = std::min(age, std::max(0.0, *moment.since_response));
    const bool is_earlier = previous != nullptr && reported < previous->reported;
    if (is_earlier && !moment.since_response) age = kUnknownAge;
    Start start{moment.now - std::max(0.0, age), age >= 0};
    start.has_changed = start.is_dated != (previous == nullptr || previous->is_dated);
    if (previous != nullptr) start.at = std::max(start.at, previous->at + kMinIncarnationGap);
    return start;
}

void ServerStartTimes::on_unlisted(const std::string& server, Millis now) {
    if (const auto known = records_.find(server); known != records_.end()) {
        known->second.unlisted_at = now;
        unlisted_.push_back({now, server});
    }
    remove_old_records(now);
}

void ServerStartTimes::remove_old_records(Millis now) {
    while (!unlisted_.empty() && unlisted_.front().at < now - kRetentionTime) {
        const auto& [at, server] = unlisted_.front();
        const auto known = records_.find(server);
        if (known != records_.end() && known->second.unlisted_at == at) records_.erase(known);
        unlisted_.pop_front();
    }
}

}  // namespace mothring::node
