/// @file
/// Manages the sidecar processes of an experiment. All functions must be called on the thread that created
/// the fleet, and the sidecar processes are killed when that thread ends.
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

/// An error that ends the experiment.
struct LabError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Interval between checks of a condition that is awaited.
inline constexpr Millis kPollInterval = 50;
/// Time limit for all sidecars to listen, and for one sidecar to finish draining.
inline constexpr Millis kStartLimit = 20'000;

/// Starts, signals and restarts sidecar processes, each with its own files and addresses.
class Fleet {
public:
    /// One sidecar over all its process instances.
    struct Sidecar {
        std::string name;
        std::filesystem::path folder;
        SidecarAddresses addresses;
        std::unique_ptr<Child> child;  ///< The latest process instance.
        Usage past;                    ///< Usage of the earlier process instances.
        unsigned starts = 0;
        bool end_requested = false, ended_badly = false;
        /// Returns the usage of all process instances.
        Usage usage() const;
    };
    /// Receives each line that a sidecar logs.
    using OnEvent = std::function<void(std::size_t sidecar, const nlohmann::json& event)>;

    /// `program` is the sidecar's executable. Each sidecar gets its own folder in `folder`. All arguments
    /// passed by reference must outlive the fleet.
    Fleet(const Scenario& scenario, std::filesystem::path folder, std::filesystem::path program,
          asio::io_context& io, Platform& platform, OnEvent on_event);

    /// Starts all sidecars. The platform must have been started before.
    void start();
    /// Records the addresses reported by the event sidecar.listening. The sidecar keeps them over restarts.
    void adopt_addresses(std::size_t i, const nlohmann::json& listening);
    void signal(std::size_t i, int number);
    /// Starts the sidecar again with the same name and addresses. Throws LabError if it is still running.
    void restart(std::size_t i);
    /// Restarts the sidecar after `delay` ms. If it is still running then, waits up to kStartLimit for its
    /// end.
    void restart_after(std::size_t i, Millis delay);
    /// Marks the sidecars that ended with a failure or without having been signalled to end.
    void note_ends();

    /// Throws std::out_of_range if there is no sidecar `i`.
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
    std::uint32_t first_address_;  ///< The first sidecar's address in 127.0.0.0/8; the others follow it.
    std::vector<Sidecar> sidecars_;
};

}  // namespace mothring::lab
