/// @file
/// The limits of sockets and memory for this process.
#pragma once

#include <cstddef>

namespace mothring::node {

/// The resource limits of a sidecar. During a hot restart two processes of one sidecar use half of the limits
/// each.
class ResourceLimits {
public:
    ResourceLimits(std::size_t sockets, std::size_t memory_mb) : sockets_(sockets), memory_mb_(memory_mb) {}

    void set_halved(bool halved) { halved_ = halved; }
    bool halved() const { return halved_; }

    /// Returns the maximum number of connections from clients, which is also that of connections to servers:
    /// a request may need one of each.
    std::size_t connections_per_side() const;
    /// Returns the maximum size in bytes of all buffered bodies.
    std::size_t buffer_bytes() const;
    /// Returns the maximum size in bytes of all heads of messages that are not small.
    std::size_t head_bytes() const;

private:
    std::size_t share_of_memory(std::size_t divisor) const;

    std::size_t sockets_;
    std::size_t memory_mb_;
    bool halved_ = false;
};

}  // namespace mothring::node
