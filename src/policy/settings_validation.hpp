/// @file
/// Validation of the settings that a balancer is created with.
#pragma once

#include "mothring/settings.hpp"

namespace mothring {

/// Checks all settings.
/// @throws std::invalid_argument for the first invalid setting, with the name that operators use for it.
void validate(const Settings& settings);

}  // namespace mothring
