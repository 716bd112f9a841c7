// One experiment: the stand-in platform, the relay, the clients and a fleet of sidecar processes, and the
// timeline of a scenario played against them. Drive it from one thread, the one that made it: the sidecars
// die with that thread.
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

class Lab {
public:
    // `program`: the sidecar to start. `folder`: where its configurations, logs and temporary files go.
    Lab(Scenario scenario, const std::filesystem::path& folder, const std::filesystem::path& program);
    ~Lab();  // every child is killed and reaped
    Lab(const Lab&) = delete;
    Lab& operator=(const Lab&) = delete;

    // Starts everything and waits until each sidecar listens. Throws LabError naming the one that does not.
    void start();
    // Plays the scenario to its end, then waits for what is still out. `progress` is called several times a
    // second with the time played; where it gives false the play ends there.
    void play(const std::function<bool(Millis)>& progress = nullptr);
    // What the play showed.
    Report report();

    // Handles child output and timers until `reached`, for `limit` ms at the most; whether it was.
    bool until(const std::function<bool()>& reached, Millis limit = 10000);
    void apply(const Fault& fault) { faults_.apply(fault); }
    void lift(const Fault& fault) { faults_.lift(fault); }

    // For faults and questions apart from the timeline. Throw std::out_of_range where there is no such
    // sidecar.
    void signal(std::size_t sidecar, int number) { fleet_.signal(sidecar, number); }
    void restart(std::size_t sidecar) { fleet_.restart(sidecar); }  // it must have ended
    const Child* child(std::size_t sidecar) const { return fleet_.at(sidecar).child.get(); }
    // How many events of that name the sidecar has written, over all its lives; where a member is named,
    // about that one.
    std::size_t events(std::size_t sidecar, const std::string& name, const std::string& member = "") const;
    // The last such event, null where there is none.
    nlohmann::json last_event(std::size_t sidecar, const std::string& name) const;
    // GET at the sidecar's operators' address: the body of a 200, or null. Bounded in time.
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
    void heard(std::size_t i, const nlohmann::json& event);
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

    // In this order: what is declared first is destroyed last, the sidecars before all that they use.
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
    double lab_cpu_before_ = 0;       // s, as the play began
    std::vector<double> cpu_before_;  // s, the sidecars'
};

}  // namespace mothring::lab
