/// @file
/// Which classes of requests may go to which servers.
#pragma once

#include <cstdint>

#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// Whether a class may go to a server. A class that is not known may be confined as any of the known ones: it
/// may go only where all of them may.
bool placement_allows(const Settings& settings, std::uint32_t class_index, const EndpointInfo& server);

/// Whether a class of higher priority is confined to servers of which this is one.
bool is_reserved_for_others(const Settings& settings, std::uint32_t class_index, double priority_weight,
                            const EndpointInfo& server);

}  // namespace mothring
