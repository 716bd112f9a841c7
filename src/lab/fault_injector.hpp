/// @file
/// Applies and lifts the faults of a scenario at the relay, the sidecar processes, the simulated servers and
/// discovery.
#pragma once

#include <map>
#include <string>

#include "lab/fleet.hpp"
#include "lab/platform.hpp"
#include "lab/scenario.hpp"

namespace mothring::lab {

/// Applies the faults of one scenario to its platform and fleet.
class FaultInjector {
public:
    /// All arguments must outlive the injector.
    FaultInjector(const Scenario& scenario, Platform& platform, Fleet& fleet);

    /// Applies the fault to all nodes that it names. lift() identifies the fault by its address, so the same
    /// object must be passed to both.
    void apply(const Fault& fault);
    /// Undoes the fault. Has no effect on a kill or a drain, which end with the sidecar's restart.
    void lift(const Fault& fault);

private:
    void apply_to(const std::string& node, const Fault& fault);
    void lift_from(const std::string& node, const Fault& fault);
    void end_sidecar(const std::string& node, int signal, const Fault& fault);
    void change_behaviour(const std::string& node, const Fault& fault);
    void restore_behaviour(const std::string& node);
    void set_down(const std::string& node, bool down);
    ScanServer& server(const std::string& node);

    const Scenario& scenario_;
    Platform& platform_;
    Fleet& fleet_;
    std::map<const Fault*, Relay::RuleId> rules_;  ///< Relay rules in force.
    /// Original behaviour of the servers with a fault, by name.
    std::map<std::string, Behaviour> behaviours_;
};

}  // namespace mothring::lab
