#include "node/resource_limits.hpp"

#include <algorithm>

namespace mothring::node {

namespace {

/// Processes of one sidecar during a hot restart.
constexpr std::size_t kProcesses = 2;
/// Sockets kept for files, discovery, peers and the listeners.
constexpr std::size_t kReservedSockets = 24;
/// Connections that are always allowed, from clients and to servers together.
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kSides = 2;
constexpr std::size_t kBytesPerMegabyte = 1024UL * 1024;
/// Bodies may use the allowed memory divided by this.
constexpr std::size_t kBufferDivisor = 4;
/// Heads of messages may use the allowed memory divided by this.
constexpr std::size_t kHeadDivisor = 8;

}  // namespace

std::size_t ResourceLimits::connections_per_side() const {
    const std::size_t sockets = halved_ ? sockets_ / kProcesses : sockets_;
    const std::size_t reserved = std::min(sockets, kReservedSockets);
    return std::max(kMinConnections, sockets - reserved) / kSides;
}

std::size_t ResourceLimits::buffer_bytes() const { return share_of_memory(kBufferDivisor); }

std::size_t ResourceLimits::head_bytes() const { return share_of_memory(kHeadDivisor); }

std::size_t ResourceLimits::share_of_memory(std::size_t divisor) const {
    return memory_mb_ * kBytesPerMegabyte / divisor / (halved_ ? kProcesses : 1);
}

}  // namespace mothring::node
