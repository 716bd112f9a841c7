/// @file
/// Runs one experiment: plays the timeline of a scenario against a simulated platform, a relay, clients and a
/// fleet of sidecar processes. All functions must be called on the thread that created the lab, because the
/// sidecar processes are killed when that thread ends.
#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "lab/clients.hpp"
#include "lab/event_log.hpp"
#include "lab/fault_injector.hpp"
#include "lab/fleet.hpp"
#include "lab/platform.hpp"
#include "lab/results.hpp"
#include "lab/scenario.hpp"

namespace mothring::lab {

/// Owns all components of an experiment and plays its scenario.
class Lab {
public:
    /// `program` is the sidecar's executable. `folder` receives the configurations, logs and temporary files.
    Lab(Scenario scenario, const std::filesystem::path& folder, const std::filesystem::path& program);
    /// Kills and reaps every child process.
    ~Lab();
    Lab(const Lab&) = delete;
    Lab& operator=(const Lab&) = delete;

    /// Starts all components and waits until every sidecar listens. Throws LabError if a sidecar ends, with
    /// its name, or if not all sidecars listen in time.
    void start();
    /// Plays the scenario to its end, then waits for the requests in flight. `progress` is called several
    /// times per second with the time played, and ends the play by returning false.
    void play(const std::function<bool(Millis)>& progress = nullptr);
    /// Returns the results of the play.
    Report report();

    /// Handles the children's output and timers until `reached` returns true, for at most `limit` ms. Returns
    /// whether it did.
    bool until(const std::function<bool()>& reached, Millis limit = 10000);
    void apply(const Fault& fault) { faults_.apply(fault); }
    void lift(const Fault& fault) { faults_.lift(fault); }

    // The functions below apply faults and read state independently of the timeline. They throw
    // std::out_of_range if there is no such sidecar.

    void signal(std::size_t sidecar, int number) { fleet_.signal(sidecar, number); }
    /// Restarts a sidecar that has ended.
    void restart(std::size_t sidecar) { fleet_.restart(sidecar); }
    const Child* child(std::size_t sidecar) const { return fleet_.at(sidecar).child.get(); }
    /// Returns how many events of that name the sidecar has logged over all its process instances. If
    /// `member` isn't empty, counts only the events about that member.
    std::size_t events(std::size_t sidecar, const std::string& name, const std::string& member = "") const;
    /// Returns the last event of that name, or null if there is none.
    nlohmann::json last_event(std::size_t sidecar, const std::string& name) const;
    /// Fetches the metrics from the sidecar's operator address. Returns the body of a 200, or null. The call
    /// has a time limit.
    nlohmann::json metrics(std::size_t sidecar) const;
    const Scenario& scenario() const { return scenario_; }
    const std::string& cluster_key() const { return fleet_.cluster_key(); }
    DiscoveryStandIn& discovery() { return platform_.discovery(); }
    ScanServer& server(std::size_t i) { return platform_.server(i); }
    Relay& relay() { return platform_.relay(); }
    Clients& clients() { return clients_; }
    Ledger& ledger() { return platform_.ledger(); }

private:
    struct Action {
        Millis at;
        std::function<void()> act;
    };
    void handle_event(std::size_t i, const nlohmann::json& event);
    bool all_listen() const;
    std::vector<Action> timeline();
    void begin_play();
    void run(const std::vector<Action>& timeline, const std::function<bool(Millis)>& progress);
    void wait_for_requests();
    Millis since_begun() const;
    std::vector<Report::Sidecar> sidecar_results();
    std::vector<Report::Server> server_results() const;
    std::vector<Report::Band> fault_bands() const;
    std::vector<double> cluster_traffic() const;

    // The order matters: members are destroyed in reverse order, so the sidecars end before the components
    // that they use.
    Scenario scenario_;
    asio::io_context io_{1};
    Platform platform_;
    Clients clients_;
    EventLog events_;
    Fleet fleet_;
    FaultInjector faults_;
    std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
    Millis played_ = 0;
    bool interrupted_ = false;
    double lab_cpu_before_ = 0;       ///< CPU time of the lab at the start of the play.
    std::vector<double> cpu_before_;  ///< CPU time of each sidecar at the start of the play, in seconds.
};

}  // namespace mothring::lab
