/// @file
/// Random settings of a balancer.
#pragma once

#include <cstdint>

#include "generator.hpp"
#include "mothring/settings.hpp"

namespace mothring::test {

// Zones, kinds, cells and tenants have the identifiers from 0 on.
constexpr std::uint32_t kZones = 3;
constexpr std::uint32_t kKinds = 3;
constexpr std::uint32_t kCells = 2;
constexpr std::uint32_t kTenants = 3;

/// Draws settings of all kinds, with two to five classes.
Settings draw_settings(Generator& draw);

}  // namespace mothring::test
