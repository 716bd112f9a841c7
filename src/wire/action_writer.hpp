/// @file
/// The balancer's actions as lines to the simulator.
#pragma once

#include <string>

#include "mothring/actions.hpp"
#include "wire/instance.hpp"

namespace mothring::wire {

/// Appends the line of an action, and counts in the instance what the action begins or ends.
void write_action(Instance& instance, const Action& action, std::string& reply);

}  // namespace mothring::wire
