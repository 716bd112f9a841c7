/// @file
/// The checks of settings that are given at start.
#pragma once

#include "mothring/settings.hpp"

namespace mothring {

/// @throws std::invalid_argument naming the setting that makes no sense, by the name that operators know.
void validate(const Settings& settings);

}  // namespace mothring
