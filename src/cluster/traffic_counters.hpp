/// @file
/// Counters of the messages that a member has sent and rejected.
#pragma once

#include <array>
#include <cstdint>

#include "cluster/codec.hpp"

namespace mothring::cluster {

/// Counters since the start. State exchanges are counted by the member that begins them.
struct TrafficCounters {
    /// Bytes sent over UDP and TCP.
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_sent = 0;
    std::uint64_t syncs = 0;
    std::uint64_t syncs_failed = 0;
    /// Rejected messages, indexed by Rejection.
    std::array<std::uint64_t, kRejectionCount> rejected{};
};

}  // namespace mothring::cluster
