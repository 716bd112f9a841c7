#include "node/upstream_pool.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "net/clock.hpp"

namespace mothring::node {

namespace asio = boost::asio;

UpstreamPool::UpstreamPool(asio::io_context& io, Limits limits, std::shared_ptr<net::BufferBudget> budget)
    : resources_{io, limits, std::move(budget)} {}

UpstreamPool::~UpstreamPool() {
    for (auto& [id, server] : servers_) close_idle(server);
    while (!exchanges_.empty()) cancel(exchanges_.begin()->first);
}

void UpstreamPool::set_server(ServerId id, const net::Tcp::endpoint& address, Millis started_at) {
    Server& server = servers_[id];
    const bool is_same_process = server.address == address && server.started_at == started_at;
    if (server.incarnation != 0 && is_same_process) return;
    close_idle(server);
    server.address = address;
    server.started_at = started_at;
    server.incarnation = next_incarnation_++;
}

void UpstreamPool::forget_server(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return;
    close_idle(at->second);
    servers_.erase(at);
}

void UpstreamPool::close_idle(ServerId id) {
    if (const auto at = servers_.find(id); at != servers_.end()) close_idle(at->second);
}

void UpstreamPool::close_idle(Server& server) {
    for (const ConnectionPtr& connection : std::exchange(server.idle, {})) connection->close();
}

UpstreamPool::ConnectionPtr UpstreamPool::take_idle(Server& server) {
    const auto idle_before =
        std::chrono::steady_clock::now() - net::to_duration(resources_.limits.reuse_delay);
    // The loop runs backwards because a connection that closes is erased from the vector, which changes only
    // the positions behind it.
    for (std::size_t i = server.idle.size(); i > 0; --i) {
        ConnectionPtr connection = server.idle[i - 1];
        if (connection->idle_since() > idle_before) continue;
        if (!connection->is_usable()) {
            connection->close();
            continue;
        }
        server.idle.erase(server.idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        return connection;
    }
    return nullptr;
}

/// Closes the connection that has been idle longest if the limit of open connections has been reached.
/// @return whether another connection may be opened.
bool UpstreamPool::free_connection_slot() {
    if (resources_.stats->open < resources_.limits.max_connections) return true;
    ConnectionPtr oldest;
    for (const auto& [id, server] : servers_) {
        if (server.idle.empty()) continue;
        const ConnectionPtr& candidate = server.idle.front();
        if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
    }
    if (oldest) oldest->close();
    return oldest != nullptr;
}

void UpstreamPool::limit_connections(std::size_t max_connections) {
    resources_.limits.max_connections = max_connections;
    while (resources_.stats->open > max_connections) {
        if (!free_connection_slot()) return;
    }
}

ExchangeId UpstreamPool::start(ServerId id, Request request, OnEnded on_ended,
                               OnResponseStarted on_response_started) {
    const ExchangeId exchange = next_exchange_++;
    const auto server = servers_.find(id);
    const bool is_known = server != servers_.end();
    ConnectionPtr connection = is_known ? take_idle(server->second) : nullptr;
    const bool is_new = !connection;
    if (is_new && (!is_known || !free_connection_slot())) {
        // The limit is the sidecar's own, so the outcome must not count against the server.
        asio::post(resources_.io, [on_ended = std::move(on_ended)] { on_ended(Outcome::not_sent, {}); });
        return exchange;
    }
    if (is_new) {
        UpstreamConnection::Owner& owner = *this;
        connection = std::make_shared<UpstreamConnection>(owner, resources_, id, server->second.incarnation);
    }
    exchanges_[exchange] = connection;
    connection->start_exchange(exchange, std::move(request),
                               {std::move(on_ended), std::move(on_response_started)});
    if (is_new) connection->connect(server->second.address);
    return exchange;
}

bool UpstreamPool::cancel(ExchangeId id) {
    const auto at = exchanges_.find(id);
    if (at == exchanges_.end()) return false;
    const ConnectionPtr connection = at->second;
    exchanges_.erase(at);
    return connection->cancel();
}

bool UpstreamPool::may_have_started(ExchangeId id) const {
    const auto at = exchanges_.find(id);
    return at != exchanges_.end() && at->second->may_have_started();
}

bool UpstreamPool::is_written(ExchangeId id) const {
    const auto at = exchanges_.find(id);
    return at != exchanges_.end() && at->second->is_written();
}

void UpstreamPool::on_exchange_ended(const UpstreamExchange& exchange, Outcome outcome, Response response) {
    exchanges_.erase(exchange.id());
    exchange.callbacks().on_ended(outcome, std::move(response));
}

void UpstreamPool::on_reusable(const ConnectionPtr& connection) {
    const auto server = servers_.find(connection->server());
    const bool is_same_process =
        server != servers_.end() && server->second.incarnation == connection->incarnation();
    if (!is_same_process) return connection->close();
    server->second.idle.push_back(connection);
    connection->become_idle();
}

void UpstreamPool::on_closed(const UpstreamConnection& connection) {
    const auto server = servers_.find(connection.server());
    if (server == servers_.end()) return;
    std::erase_if(server->second.idle,
                  [&](const ConnectionPtr& other) { return other.get() == &connection; });
}

}  // namespace mothring::node
