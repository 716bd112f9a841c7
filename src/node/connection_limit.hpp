/// @file
/// The limit on open downstream connections, and which of them are evicted to keep to it.
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_set>
#include <vector>

#include "node/downstream_connection.hpp"

namespace mothring::node::downstream {

/// Limits the number of open connections. Near the limit it evicts the connection with the lowest eviction
/// rank, and of those with equal rank the least recently active one. A graceful shutdown lasts until the
/// client closes too or a time-out expires, so part of the limit is reserved for connections that are
/// shutting down. If the limit is reached and a new connection is pending already, the evicted connection is
/// closed at once instead; it may then also be one that is shutting down, or that waits for
/// the rest of a body from its client or, for long, from the server.
class ConnectionLimit {
public:
    using Connections = std::unordered_set<ConnectionPtr>;

    /// @param connections  all open connections; closed ones are removed from the set by its owner.
    ConnectionLimit(const Connections& connections, std::size_t limit)
        : connections_(connections), limit_(limit) {}

    /// Evicts connections as necessary to have capacity for a new one.
    /// @param has_pending_connection  returns whether a new connection is pending; called only if the limit
    /// is reached.
    /// @return whether another connection may be accepted now.
    bool ensure_capacity(const std::function<bool()>& has_pending_connection);
    /// Sets the limit and evicts excess connections at once. Those that are needed count until they end.
    void set_limit(std::size_t limit, const std::function<bool()>& has_pending_connection);
    bool is_reached() const { return connections_.size() >= limit_; }

    /// Returns the number of connections with this rank.
    std::size_t count(EvictionRank rank) const;

private:
    struct Candidate {
        EvictionRank rank;
        std::chrono::steady_clock::time_point active_at;
        ConnectionPtr connection;
    };

    std::vector<Candidate> candidates(EvictionRank highest) const;

    const Connections& connections_;
    std::size_t limit_;
};

}  // namespace mothring::node::downstream
