// What the sidecars logged: the count and the last of each event, and the history of the membership's.
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

class EventLog {
public:
    // `at`: ms since the play began.
    void record(Millis at, const std::string& sidecar, const nlohmann::json& event);
    // Forgets the history, as a play begins; the counts go on.
    void clear_history() { history_.clear(); }
    // How many events of that name the sidecar has written, over all its lives.
    std::size_t count(const std::string& sidecar, const std::string& name) const;
    // How many of these there are about a member in the history.
    std::size_t count(const std::string& sidecar, const std::string& name, const std::string& member) const;
    // The last such event, null where there is none.
    nlohmann::json last(const std::string& sidecar, const std::string& name) const;
    // The membership's events since the play began, the first 200,000.
    const std::vector<Report::Event>& history() const { return history_; }
    // For each sidecar that the scenario kills, when the others declared it dead. Empty without a membership.
    std::vector<Report::Detection> detections(const Scenario& scenario) const;

private:
    struct Seen {
        std::size_t count = 0;
        nlohmann::json last;
    };
    const Seen* find(const std::string& sidecar, const std::string& name) const;
    Report::Detection detection(const std::string& member, Millis killed_at, std::size_t observers) const;

    std::map<std::pair<std::string, std::string>, Seen> seen_;  // by sidecar and event
    std::vector<Report::Event> history_;
};

}  // namespace mothring::lab
