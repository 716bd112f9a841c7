#include "node/server_start_times.hpp"

#include <algorithm>
#include <cmath>

#include "config/config.hpp"

namespace mothring::node {

namespace {

// So far ahead of a clock (ms) a start is still one of just now: clocks that are read in turn, in whole ms.
constexpr Millis kGranularity = 50;
// Two incarnations are at least so far apart (ms), so that they can be told from each other.
constexpr Millis kApart = 1;
// A server that is off the list for longer (ms) is dated anew. Long against outages of a zone or of
// discovery.
constexpr Millis kRemembered = 600000;

// Below any age (ms): of a start that can't be dated.
constexpr Millis kUnknownAge = -1;

// The age that a report tells (ms), kUnknownAge where it can't be right. By either clock alone a step of it
// would make a server older: the wall clock is off where this machine's alone was stepped, the sidecar's own
// where all machines' were. The less of the two is the careful one.
Millis reported_age(Millis reported, const ServerStartTimes::Moment& moment) {
    const Millis latest = std::max(moment.wall, moment.now) + kGranularity;
    if (reported < 0 || reported > latest) return kUnknownAge;
    return std::max(0.0, std::min(moment.wall, moment.now) - reported);
}

}  // namespace

ServerStartTimes::Start ServerStartTimes::start_of(const std::string& server, Millis reported,
                                                   const Moment& moment) {
    if (!std::isfinite(reported)) reported = config::kUnreadableStart;
    const auto known = records_.find(server);
    const bool fresh = known == records_.end();
    if (fresh && reported == 0) return {};
    if (!fresh) known->second.unlisted_at.reset();
    if (!fresh && (reported == 0 || reported == known->second.reported))
        return {known->second.at, known->second.dated, false};

    Millis age = reported_age(reported, moment);
    // One that comes to a list which is watched can't have started before the answer that did not name it.
    // Where there is no such bound, a start before the one that was known can't be dated.
    if (age >= 0 && moment.since_answer) age = std::min(age, std::max(0.0, *moment.since_answer));
    if (!fresh && !moment.since_answer && reported < known->second.reported) age = kUnknownAge;
    Start start{moment.now - std::max(0.0, age), age >= 0};
    start.changed = start.dated != (fresh || known->second.dated);
    if (!fresh) start.at = std::max(start.at, known->second.at + kApart);
    records_[server] = {reported, start.at, start.dated, std::nullopt};
    return start;
}

void ServerStartTimes::unlisted(const std::string& server, Millis now) {
    if (const auto known = records_.find(server); known != records_.end()) {
        known->second.unlisted_at = now;
        unlisted_.emplace_back(now, server);
    }
    forget_old(now);
}

void ServerStartTimes::forget_old(Millis now) {
    while (!unlisted_.empty() && unlisted_.front().first < now - kRemembered) {
        const auto& [at, server] = unlisted_.front();
        const auto known = records_.find(server);
        if (known != records_.end() && known->second.unlisted_at == at) records_.erase(known);
        unlisted_.pop_front();
    }
}

}  // namespace mothring::node
