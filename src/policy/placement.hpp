/// @file
/// Placement constraints: which request classes may be sent to which servers.
#pragma once

#include <cstdint>

#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// Returns whether a class may be sent to a server. An unknown class may be subject to the constraints of any
/// known class, so it may be sent only to servers that all classes allow.
bool placement_allows(const Settings& settings, std::uint32_t class_index, const EndpointInfo& server);

/// Returns whether the server belongs to those that a class of higher priority is confined to.
bool is_reserved_for_others(const Settings& settings, std::uint32_t class_index, double priority_weight,
                            const EndpointInfo& server);

}  // namespace mothring
