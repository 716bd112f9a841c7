#include "node/connection_limit.hpp"

#include <algorithm>
#include <tuple>

namespace mothring::node::downstream {

namespace {

constexpr std::size_t kSparePart = 16;  // of the limit, for connections on their way out

}  // namespace

std::vector<ConnectionLimit::Candidate> ConnectionLimit::candidates() const {
    std::vector<Candidate> found;
    for (const ConnectionPtr& connection : connections_) {
        if (connection->is_shutting_down()) continue;
        const EvictionRank rank = connection->eviction_rank();
        if (rank < EvictionRank::needed) found.push_back({rank, connection->active_at(), connection});
    }
    return found;
}

std::size_t ConnectionLimit::shutting_down_count() const {
    const auto is_shutting_down = [](const ConnectionPtr& connection) {
        return connection->is_shutting_down();
    };
    return static_cast<std::size_t>(std::ranges::count_if(connections_, is_shutting_down));
}

bool ConnectionLimit::make_room(const std::function<bool()>& has_newcomer) {
    const std::size_t most = limit_ - limit_ / kSparePart;
    if (connections_.size() < most) return true;
    std::vector<Candidate> order = candidates();
    std::size_t leaving = shutting_down_count();
    const auto is_later = [](const Candidate& left, const Candidate& right) {
        return std::tie(left.rank, left.active_at) > std::tie(right.rank, right.active_at);
    };
    std::ranges::make_heap(order, is_later);
    const bool is_pressed = is_reached() && has_newcomer();
    const auto needs_room = [&] { return is_pressed ? is_reached() : connections_.size() - leaving >= most; };
    while (!order.empty() && needs_room()) {
        const ConnectionPtr connection = order.front().connection;
        if (connection->has_read_all()) {
            if (is_pressed)
                connection->close();
            else
                connection->evict();
        }
        if (connection->is_shutting_down()) ++leaving;
        std::ranges::pop_heap(order, is_later);
        order.pop_back();
    }
    return !is_reached();
}

void ConnectionLimit::set_limit(std::size_t limit, const std::function<bool()>& has_newcomer) {
    limit_ = limit;
    while (connections_.size() > limit_) {
        const std::size_t before = connections_.size();
        make_room(has_newcomer);
        if (connections_.size() == before) return;
    }
}

}  // namespace mothring::node::downstream
