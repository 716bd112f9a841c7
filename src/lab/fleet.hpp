// The sidecar processes of an experiment: started with files and addresses of their own, signalled, started
// again. One thread, the one that made it: the children die with it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/platform.hpp"
#include "lab/process.hpp"
#include "lab/scenario.hpp"
#include "lab/sidecar_config.hpp"

namespace mothring::lab {

// What keeps an experiment from going on.
struct LabError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr Millis kPollInterval = 50;    // between looks at what is waited for
inline constexpr Millis kStartLimit = 20'000;  // for all sidecars to listen, and for one to end its drain

class Fleet {
public:
    struct Sidecar {
        std::string name;
        std::filesystem::path folder;
        SidecarAddresses addresses;
        std::unique_ptr<Child> child;  // its latest life
        Usage past;                    // of its earlier lives
        unsigned starts = 0;
        bool told_to_end = false, ended_badly = false;
        Usage usage() const;  // of all its lives
    };
    // A line that a sidecar logged.
    using OnEvent = std::function<void(std::size_t sidecar, const nlohmann::json& event)>;

    // `program`: the sidecar to start. `folder`: where each gets one of its own. What is given by reference
    // must outlive it.
    Fleet(const Scenario& scenario, std::filesystem::path folder, std::filesystem::path program,
          asio::io_context& io, Platform& platform, OnEvent on_event);

    // Starts all; the platform must have been started.
    void start();
    // The addresses that its event sidecar.listening tells; they stay its own over restarts.
    void adopt_addresses(std::size_t i, const nlohmann::json& listening);
    void signal(std::size_t i, int number);
    // With its name and addresses. Throws LabError where it still runs.
    void restart(std::size_t i);
    // Starts it again so many ms from now, once it has ended, which it has kStartLimit for.
    void restart_after(std::size_t i, Millis delay);
    // Looks for sidecars that ended otherwise than they were told to.
    void note_ends();

    // Throws std::out_of_range where there is none.
    const Sidecar& at(std::size_t i) const { return sidecars_.at(i); }
    const std::vector<Sidecar>& sidecars() const { return sidecars_; }
    const std::string& cluster_key() const { return config_.cluster_key(); }

private:
    void launch(std::size_t i);
    Task restart_later(std::size_t i, Millis delay);

    const Scenario& scenario_;
    std::filesystem::path folder_, program_;
    asio::io_context& io_;
    Platform& platform_;
    OnEvent on_event_;
    SidecarConfig config_;
    std::uint32_t first_address_;  // the first sidecar's, in 127.0.0.0/8; the others' follow
    std::vector<Sidecar> sidecars_;
};

}  // namespace mothring::lab
