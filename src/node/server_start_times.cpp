#include "node/server_start_times.hpp"

#include <algorithm>
#include <cmath>

#include "config/config.hpp"

namespace mothring::node {

namespace {

// So far ahead of a clock a start still counts as just now: clocks are read in turn, in whole milliseconds.
constexpr Millis kClockTolerance = 50;
// The least time between two incarnations, so that they can be told from each other.
constexpr Millis kMinIncarnationGap = 1;
// A server that is off the list for longer is dated anew. Long against outages of a zone or of discovery.
constexpr Millis kRememberFor = 600000;

// Below any age: of a start that can't be dated.
constexpr Millis kUnknownAge = -1;

// The age by a report; kUnknownAge where the report can't be right. By either clock alone a step could make a
// server older: the wall clock is off where only this machine's was stepped, the sidecar's own where all
// machines' were. So the lesser age counts.
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
        if (reported == 0 || reported == record.reported) return {record.at, record.dated, false};
    }
    const Start start = date(is_new ? nullptr : &known->second, reported, moment);
    records_[server] = {reported, start.at, start.dated, std::nullopt};
    return start;
}

// A server that comes to a watched list can't have started before the answer that did not name it. Where
// there is no such bound, a start before the one that was known can't be dated.
ServerStartTimes::Start ServerStartTimes::date(const Record* previous, Millis reported,
                                               const Moment& moment) {
    Millis age = reported_age(reported, moment);
    if (age >= 0 && moment.since_answer) age = std::min(age, std::max(0.0, *moment.since_answer));
    const bool is_earlier = previous != nullptr && reported < previous->reported;
    if (is_earlier && !moment.since_answer) age = kUnknownAge;
    Start start{moment.now - std::max(0.0, age), age >= 0};
    start.changed = start.dated != (previous == nullptr || previous->dated);
    if (previous != nullptr) start.at = std::max(start.at, previous->at + kMinIncarnationGap);
    return start;
}

void ServerStartTimes::unlisted(const std::string& server, Millis now) {
    if (const auto known = records_.find(server); known != records_.end()) {
        known->second.unlisted_at = now;
        unlisted_.push_back({now, server});
    }
    forget_old(now);
}

void ServerStartTimes::forget_old(Millis now) {
    while (!unlisted_.empty() && unlisted_.front().at < now - kRememberFor) {
        const auto& [at, server] = unlisted_.front();
        const auto known = records_.find(server);
        if (known != records_.end() && known->second.unlisted_at == at) records_.erase(known);
        unlisted_.pop_front();
    }
}

}  // namespace mothring::node
