/// @file
/// How many sockets and how much memory this process may use.
#pragma once

#include <cstddef>

namespace mothring::node {

/// The limits of a sidecar. Two processes of one sidecar, as in a hot restart, use half of them each.
class ResourceLimits {
public:
    ResourceLimits(std::size_t sockets, std::size_t memory_mb) : sockets_(sockets), memory_mb_(memory_mb) {}

    void set_halved(bool halved) { halved_ = halved; }
    bool halved() const { return halved_; }

    /// Connections of clients, and as many to servers: a request may need one of each.
    std::size_t connections_per_side() const;
    /// What bodies in passing may fill, in bytes.
    std::size_t buffer_bytes() const;

private:
    std::size_t sockets_;
    std::size_t memory_mb_;
    bool halved_ = false;
};

}  // namespace mothring::node
