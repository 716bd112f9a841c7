/// @file
/// Random settings of a balancer.
#pragma once

#include <cstdint>

#include "generator.hpp"
#include "mothring/settings.hpp"

namespace mothring::test {

// Identifiers of zones, kinds, cells and tenants start at 0.
constexpr std::uint32_t kZones = 3;
constexpr std::uint32_t kKinds = 3;
constexpr std::uint32_t kCells = 2;
constexpr std::uint32_t kTenants = 3;

/// Returns random settings with two to five classes.
Settings draw_settings(Generator& draw);

}  // namespace mothring::test
