/// @file
/// Formatting of the balancer's actions as lines of the simulator's protocol.
#pragma once

#include <string>

#include "mothring/actions.hpp"
#include "wire/instance.hpp"

namespace mothring::wire {

/// Appends the line of an action to the reply, and updates the attempts in flight and the requests of the
/// instance accordingly.
void write_action(Instance& instance, const Action& action, std::string& reply);

}  // namespace mothring::wire
