/// @file
/// What a member has sent and rejected since its start.
#pragma once

#include <array>
#include <cstdint>

#include "cluster/codec.hpp"

namespace mothring::cluster {

/// Counts since the start; state exchanges are those that this member began.
struct TrafficCounters {
    /// Over UDP and TCP.
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_sent = 0;
    std::uint64_t syncs = 0;
    std::uint64_t syncs_failed = 0;
    /// By Rejection.
    std::array<std::uint64_t, kRejections> rejected{};
};

}  // namespace mothring::cluster
