#include "lab/event_log.hpp"

#include <algorithm>
#include <set>

namespace mothring::lab {

using Json = nlohmann::json;

namespace {

constexpr std::size_t kMaxHistoryEvents = 200'000;  // limit of the events kept for the report

bool is_membership_event(const std::string& event) {
    return event.starts_with("member.") || event.starts_with("cluster.");
}

}  // namespace

void EventLog::record(Millis at, const std::string& sidecar, const Json& event) {
    const std::string name = event.value("event", "");
    Seen& seen = seen_[{sidecar, name}];
    ++seen.count;
    seen.last = event;
    if (is_membership_event(name) && history_.size() < kMaxHistoryEvents)
        history_.push_back({at, sidecar, name, event.value("member", "")});
}

const EventLog::Seen* EventLog::find(const std::string& sidecar, const std::string& name) const {
    const auto at = seen_.find({sidecar, name});
    return at == seen_.end() ? nullptr : &at->second;
}

std::size_t EventLog::count(const std::string& sidecar, const std::string& name) const {
    const Seen* const seen = find(sidecar, name);
    return seen ? seen->count : 0;
}

std::size_t EventLog::count(const std::string& sidecar, const std::string& name,
                            const std::string& member) const {
    return static_cast<std::size_t>(
        std::count_if(history_.begin(), history_.end(), [&](const Report::Event& event) {
            return event.sidecar == sidecar && event.event == name && event.member == member;
        }));
}

Json EventLog::last(const std::string& sidecar, const std::string& name) const {
    const Seen* const seen = find(sidecar, name);
    return seen ? seen->last : Json();
}

std::vector<Report::Detection> EventLog::detections(const Scenario& scenario) const {
    std::vector<Report::Detection> found;
    if (!scenario.cluster_period) return found;
    for (const Fault& fault : scenario.faults) {
        if (fault.kind != FaultKind::kill) continue;
        const auto killed = scenario.select(fault.from);
        for (const std::string& member : killed)
            found.push_back(detection(member, fault.at, scenario.sidecars - killed.size()));
    }
    return found;
}

Report::Detection EventLog::detection(const std::string& member, Millis killed_at,
                                      std::size_t observers) const {
    Report::Detection found{member, killed_at, observers, {}};
    std::set<std::string> reporters;
    for (const Report::Event& event : history_)
        if (event.at >= killed_at && event.event == "member.dead" && event.member == member &&
            reporters.insert(event.sidecar).second)
            found.after.push_back(event.at - killed_at);
    std::sort(found.after.begin(), found.after.end());
    return found;
}

}  // namespace mothring::lab
