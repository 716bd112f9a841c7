/// @file
/// Log events of the sidecars.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "lab/results.hpp"
#include "lab/scenario.hpp"

namespace mothring::lab {

/// Collects the events that the sidecars log. Keeps the count and the last occurrence of each event, and a
/// history of the membership's events for the report.
class EventLog {
public:
    /// Records an event that was logged `at` milliseconds after the start of the scenario.
    void record(Millis at, const std::string& sidecar, const nlohmann::json& event);
    /// Clears the history at the start of a scenario. The counts are kept.
    void clear_history() { history_.clear(); }
    /// Returns how often the sidecar has logged the event, over all its process instances.
    std::size_t count(const std::string& sidecar, const std::string& name) const;
    /// Returns how often the history holds the sidecar's event about this member.
    std::size_t count(const std::string& sidecar, const std::string& name, const std::string& member) const;
    /// Returns the sidecar's last event of this name, or null if there is none.
    nlohmann::json last(const std::string& sidecar, const std::string& name) const;
    /// Returns the first 200,000 membership events since the start of the scenario.
    const std::vector<Report::Event>& history() const { return history_; }
    /// Returns, for each sidecar that the scenario kills, after which time the other sidecars declared it
    /// dead. The result is empty if the scenario runs without the membership.
    std::vector<Report::Detection> detections(const Scenario& scenario) const;

private:
    struct Seen {
        std::size_t count = 0;
        nlohmann::json last;
    };
    const Seen* find(const std::string& sidecar, const std::string& name) const;
    Report::Detection detection(const std::string& member, Millis killed_at, std::size_t observers) const;

    std::map<std::pair<std::string, std::string>, Seen> seen_;  ///< by sidecar and event name
    std::vector<Report::Event> history_;
};

}  // namespace mothring::lab
