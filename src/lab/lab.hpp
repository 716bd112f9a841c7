// One experiment: the stand-in platform, the relay, the clients and a fleet of sidecar processes, and the
// timeline of a scenario played against them. Drive it from one thread, the one that made it: the sidecars
// die with that thread.
#pragma once

#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/clients.hpp"
#include "lab/discovery.hpp"
#include "lab/event_log.hpp"
#include "lab/process.hpp"
#include "lab/relay.hpp"
#include "lab/results.hpp"
#include "lab/scan_server.hpp"
#include "lab/scenario.hpp"
#include "lab/sidecar_config.hpp"

namespace mothring::lab {

struct LabError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

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
    Report report();

    // Handles child output and timers until `reached`, for `limit` at the most; whether it was.
    bool until(const std::function<bool()>& reached, Millis limit = 10000);
    void apply(const Fault& fault);
    void lift(const Fault& fault);

    // For faults and questions apart from the timeline.
    void signal(std::size_t sidecar, int number);
    void restart(std::size_t sidecar);  // with its name and addresses; it must have ended
    const Child* child(std::size_t sidecar) const { return sidecars_.at(sidecar).child.get(); }
    // How many events of that name the sidecar has written, over all its lives; where a member is named,
    // about that one.
    std::size_t events(std::size_t sidecar, const std::string& name, const std::string& member = "") const;
    // The last such event, null where there is none.
    nlohmann::json last_event(std::size_t sidecar, const std::string& name) const;
    // GET at the sidecar's operators' address: the body of a 200, or null. Bounded in time.
    nlohmann::json metrics(std::size_t sidecar) const;
    const Scenario& scenario() const { return scenario_; }
    const std::string& cluster_key() const { return config_.cluster_key(); }
    DiscoveryStandIn& discovery() { return *discovery_; }
    ScanServer& server(std::size_t i) { return *servers_.at(i); }
    Relay& relay() { return relay_; }
    Clients& clients() { return clients_; }
    Ledger& ledger() { return *ledger_; }

private:
    struct SidecarProcess {
        std::string name;
        std::filesystem::path folder;
        SidecarAddresses addresses;
        std::unique_ptr<Child> child;
        Usage past;  // of its earlier lives
        unsigned starts = 0;
        bool ended_badly = false, told_to_end = false;
    };
    struct Due {
        Millis at;
        std::function<void()> act;
    };
    void launch(std::size_t i);
    void heard(std::size_t i, const nlohmann::json& event);
    void look_after();  // children that ended by themselves
    Task restart_later(std::size_t i, Millis after);
    Millis since_begun() const;
    std::size_t index_of(const std::string& node) const;

    Scenario scenario_;
    std::filesystem::path folder_, program_;
    std::uint32_t addresses_;  // the first sidecar's, in 127.0.0.0/8; the others' follow
    asio::io_context io_{1};
    std::shared_ptr<Ledger> ledger_ = std::make_shared<Ledger>();
    Relay relay_;
    SidecarConfig config_;
    std::vector<std::unique_ptr<ScanServer>> servers_;
    std::map<std::pair<std::string, std::string>, Tcp::endpoint> links_;
    std::unique_ptr<DiscoveryStandIn> discovery_;
    Clients clients_;
    std::vector<SidecarProcess> sidecars_;
    std::map<const Fault*, Relay::RuleId> rules_;
    std::map<std::string, Behaviour> behaviours_;  // to go back to, of servers with a fault
    EventLog events_;
    std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
    Millis played_ = 0;
    bool interrupted_ = false;
    double lab_cpu_before_ = 0;
    std::vector<double> cpu_before_;
};

}  // namespace mothring::lab
