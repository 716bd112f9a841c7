#include "node/connection_limit.hpp"

#include <algorithm>
#include <tuple>

namespace mothring::node::downstream {

namespace {

// One sixteenth of the limit is reserved for connections that are shutting down.
constexpr std::size_t kShutdownReserveDivisor = 16;

}  // namespace

// Returns the connections up to a rank.
std::vector<ConnectionLimit::Candidate> ConnectionLimit::candidates(EvictionRank highest) const {
    std::vector<Candidate> found;
    for (const ConnectionPtr& connection : connections_) {
        const EvictionRank rank = connection->eviction_rank();
        if (rank <= highest) found.push_back({rank, connection->active_at(), connection});
    }
    return found;
}

std::size_t ConnectionLimit::count(EvictionRank rank) const {
    const auto has_rank = [rank](const ConnectionPtr& connection) {
        return connection->eviction_rank() == rank;
    };
    return static_cast<std::size_t>(std::ranges::count_if(connections_, has_rank));
}

bool ConnectionLimit::ensure_capacity(const std::function<bool()>& has_pending_connection) {
    const std::size_t unreserved_limit = limit_ - limit_ / kShutdownReserveDivisor;
    if (connections_.size() < unreserved_limit) return true;
    const bool must_close_at_once = is_reached() && has_pending_connection();
    std::vector<Candidate> order =
        candidates(must_close_at_once ? EvictionRank::stalled_response : EvictionRank::idle);
    std::size_t shutting_down = count(EvictionRank::shutting_down);
    const auto is_later = [](const Candidate& left, const Candidate& right) {
        return std::tie(left.rank, left.active_at) > std::tie(right.rank, right.active_at);
    };
    std::ranges::make_heap(order, is_later);
    const auto needs_capacity = [&] {
        return must_close_at_once ? is_reached() : connections_.size() - shutting_down >= unreserved_limit;
    };
    while (!order.empty() && needs_capacity()) {
        const ConnectionPtr connection = order.front().connection;
        if (connection->has_read_all()) {
            if (must_close_at_once)
                connection->guarded([&] { connection->evict_at_once(); });
            else
                connection->evict();
        }
        if (connection->is_shutting_down()) ++shutting_down;
        std::ranges::pop_heap(order, is_later);
        order.pop_back();
    }
    return !is_reached();
}

void ConnectionLimit::set_limit(std::size_t limit, const std::function<bool()>& has_pending_connection) {
    limit_ = limit;
    while (connections_.size() > limit_) {
        const std::size_t before = connections_.size();
        ensure_capacity(has_pending_connection);
        if (connections_.size() == before) return;
    }
}

}  // namespace mothring::node::downstream
