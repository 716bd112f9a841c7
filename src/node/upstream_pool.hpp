/// @file
/// The pool of connections to the servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "mothring/types.hpp"
#include "net/address.hpp"
#include "net/body_buffer.hpp"
#include "node/upstream_connection.hpp"
#include "node/upstream_exchange.hpp"

namespace mothring::node {

/// Runs exchanges with servers. Each exchange uses an idle connection or, within the limits, a new one;
/// connections are kept alive between exchanges.
class UpstreamPool : private UpstreamConnection::Owner {
public:
    using RequestHead = UpstreamRequestHead;
    using Request = UpstreamRequest;
    using Response = UpstreamResponse;
    using Head = UpstreamResponseHead;
    using OnEnded = OnExchangeEnded;
    using OnResponseStarted = OnUpstreamResponseStarted;
    using Limits = UpstreamLimits;
    using Stats = UpstreamStats;

    UpstreamPool(boost::asio::io_context& io, Limits limits, std::shared_ptr<net::BufferBudget> budget);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    /// Sets the address and the start time of a server's process. If either differs from the previous value,
    /// the connections to the previous process are not reused.
    void set_server(ServerId server, const net::Tcp::endpoint& address, Millis started_at);
    /// Removes a server and closes its idle connections. Exchanges in progress continue.
    void forget_server(ServerId server);
    /// Closes the idle connections to a server.
    void close_idle(ServerId server);

    /// Starts an exchange. It ends with Outcome::not_sent if the server is unknown or the limit of
    /// connections has been reached.
    ExchangeId start(ServerId server, Request request, OnEnded on_ended,
                     OnResponseStarted on_response_started = nullptr);
    /// Cancels an exchange without a call of its OnEnded.
    /// @return whether the complete request had been written; false also for an unknown exchange.
    bool cancel(ExchangeId exchange);
    /// Returns whether the first byte of the request may have been sent.
    bool may_have_started(ExchangeId exchange) const;
    /// Returns whether the complete request has been handed to the kernel.
    bool is_written(ExchangeId exchange) const;

    const Stats& stats() const { return *resources_.stats; }
    /// Sets the limit of open connections. Idle connections above the limit are closed at once, beginning
    /// with the one that has been idle longest; busy connections stay open.
    void limit_connections(std::size_t max_connections);

private:
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
    struct Server {
        net::Tcp::endpoint address;
        Millis started_at = 0;
        /// Number of the server's process, unique over all servers; 0 before set_server().
        std::uint64_t incarnation = 0;
        /// Idle connections; the most recently used one is the last.
        std::vector<ConnectionPtr> idle;
    };

    void on_reusable(const ConnectionPtr& connection) override;
    void on_closed(const UpstreamConnection& connection) override;
    void on_exchange_ended(const UpstreamExchange& exchange, Outcome outcome, Response response) override;

    ConnectionPtr take_idle(Server& server);
    bool free_connection_slot();
    static void close_idle(Server& server);

    UpstreamResources resources_;
    std::unordered_map<ServerId, Server> servers_;
    std::unordered_map<ExchangeId, ConnectionPtr> exchanges_;
    ExchangeId next_exchange_ = 1;
    std::uint64_t next_incarnation_ = 1;
};

}  // namespace mothring::node
