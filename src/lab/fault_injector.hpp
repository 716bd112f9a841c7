// Carries out the faults of a scenario, and lifts them: at the relay, on processes, at the stand-ins.
#pragma once

#include <map>
#include <string>

#include "lab/fleet.hpp"
#include "lab/platform.hpp"
#include "lab/scenario.hpp"

namespace mothring::lab {

class FaultInjector {
public:
    // All must outlive it.
    FaultInjector(const Scenario& scenario, Platform& platform, Fleet& fleet);

    // The fault takes hold of all that it names. `fault` is known again by its address when it is lifted.
    void apply(const Fault& fault);
    // What can be undone is: not a kill or a drain, which end by their own restart.
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
    std::map<const Fault*, Relay::RuleId> rules_;  // in force
    std::map<std::string, Behaviour> behaviours_;  // to go back to, of servers with a fault
};

}  // namespace mothring::lab
