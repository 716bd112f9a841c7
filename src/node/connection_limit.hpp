/// @file
/// Which connections make room for others.
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_set>
#include <vector>

#include "node/downstream_connection.hpp"

namespace mothring::node::downstream {

/// A bound on the connections open at a time. Near it the connection of least use makes room, of those alike
/// the one that has been so longest. A shutdown in order takes until the client's own, or a while: a part of
/// the bound is for connections on their way out. Where a newcomer waits already, the connection is closed at
/// once instead.
class ConnectionLimit {
public:
    using Connections = std::unordered_set<ConnectionPtr>;

    /// @param connections  all that are open; a connection that is closed leaves them.
    ConnectionLimit(const Connections& connections, std::size_t limit)
        : connections_(connections), limit_(limit) {}

    /// @return whether there is room for another connection. Else accepting has to wait.
    /// @param has_newcomer  whether a client waits to be accepted; asked only where that matters.
    bool make_room(const std::function<bool()>& has_newcomer);
    /// Idle connections make room at once, the others as they end.
    void set_limit(std::size_t limit, const std::function<bool()>& has_newcomer);
    bool is_reached() const { return connections_.size() >= limit_; }

private:
    struct Candidate {
        EvictionRank rank;
        std::chrono::steady_clock::time_point active_at;
        ConnectionPtr connection;
    };

    std::vector<Candidate> candidates() const;
    std::size_t shutting_down_count() const;

    const Connections& connections_;
    std::size_t limit_;
};

}  // namespace mothring::node::downstream
