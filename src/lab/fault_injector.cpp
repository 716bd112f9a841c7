#include "lab/fault_injector.hpp"

#include <signal.h>

namespace mothring::lab {

namespace {

// Returns whether the fault is carried out by a rule of the relay.
bool is_relay_fault(FaultKind kind) {
    return kind == FaultKind::partition || kind == FaultKind::delay || kind == FaultKind::drop ||
           kind == FaultKind::reset;
}

// Returns the zero-based index of a sidecar or server from its name: 0 for n1.
std::size_t index_of(const std::string& node) {
    return static_cast<std::size_t>(std::stoul(node.substr(1))) - 1;
}

}  // namespace

FaultInjector::FaultInjector(const Scenario& scenario, Platform& platform, Fleet& fleet)
    : scenario_(scenario), platform_(platform), fleet_(fleet) {}

void FaultInjector::apply(const Fault& fault) {
    const auto targets = scenario_.select(fault.from);
    if (is_relay_fault(fault.kind))
        rules_[&fault] =
            platform_.relay().add({targets, scenario_.select(fault.to), fault.both_ways, fault.conditions});
    else if (fault.kind == FaultKind::discovery)
        platform_.discovery().set_mode(fault.mode);
    else if (fault.kind == FaultKind::list)
        platform_.discovery().set_state({targets.begin(), targets.end()}, fault.state);
    else
        for (const std::string& node : targets) apply_to(node, fault);
}

void FaultInjector::lift(const Fault& fault) {
    const auto targets = scenario_.select(fault.from);
    if (is_relay_fault(fault.kind)) {
        if (const auto rule = rules_.extract(&fault)) platform_.relay().remove(rule.mapped());
    } else if (fault.kind == FaultKind::discovery) {
        platform_.discovery().set_mode(DiscoveryStandIn::Mode::up);
    } else if (fault.kind == FaultKind::list) {
        platform_.discovery().set_state({targets.begin(), targets.end()}, "Ready");
    } else {
        for (const std::string& node : targets) lift_from(node, fault);
    }
}

void FaultInjector::apply_to(const std::string& node, const Fault& fault) {
    switch (fault.kind) {
        case FaultKind::kill:
            return end_sidecar(node, SIGKILL, fault);
        case FaultKind::drain:
            return end_sidecar(node, SIGTERM, fault);
        case FaultKind::stop:
            return fleet_.signal(index_of(node), SIGSTOP);
        case FaultKind::server:
            return change_behaviour(node, fault);
        case FaultKind::server_down:
            return set_down(node, true);
        case FaultKind::partition:
        case FaultKind::delay:
        case FaultKind::drop:
        case FaultKind::reset:
        case FaultKind::list:
        case FaultKind::discovery:
            return;  // These faults don't belong to a single node; apply() handles them.
    }
}

void FaultInjector::lift_from(const std::string& node, const Fault& fault) {
    switch (fault.kind) {
        case FaultKind::stop:
            return fleet_.signal(index_of(node), SIGCONT);
        case FaultKind::server:
            return restore_behaviour(node);
        case FaultKind::server_down:
            return set_down(node, false);
        case FaultKind::kill:
        case FaultKind::drain:
        case FaultKind::partition:
        case FaultKind::delay:
        case FaultKind::drop:
        case FaultKind::reset:
        case FaultKind::list:
        case FaultKind::discovery:
            return;  // A restart ends the fault, or lift() handles it because it has no single node.
    }
}

void FaultInjector::end_sidecar(const std::string& node, int signal, const Fault& fault) {
    fleet_.signal(index_of(node), signal);
    if (fault.restart_after) fleet_.restart_after(index_of(node), *fault.restart_after);
}

void FaultInjector::change_behaviour(const std::string& node, const Fault& fault) {
    Behaviour changed = server(node).behaviour();
    behaviours_.try_emplace(node, changed);
    changed.error_share = fault.error_share.value_or(changed.error_share);
    changed.turn_away_share = fault.turn_away_share.value_or(changed.turn_away_share);
    changed.reset_share = fault.reset_share.value_or(changed.reset_share);
    changed.slow = fault.slow.value_or(changed.slow);
    changed.silent = fault.silent.value_or(changed.silent);
    server(node).set(changed);
}

void FaultInjector::restore_behaviour(const std::string& node) {
    if (const auto before = behaviours_.extract(node)) server(node).set(before.mapped());
}

// A server that is down refuses connections, also at the relay. Its restart is recorded in discovery.
void FaultInjector::set_down(const std::string& node, bool down) {
    if (down) {
        platform_.relay().set_refused(node, true);
        server(node).set_down(true);
        return;
    }
    server(node).set_down(false);
    platform_.relay().set_refused(node, false);
    platform_.discovery().restarted(node);
}

ScanServer& FaultInjector::server(const std::string& node) { return platform_.server(index_of(node)); }

}  // namespace mothring::lab
