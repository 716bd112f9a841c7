/// @file
/// The connections to the servers, kept alive between exchanges.
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

/// Gives each exchange a connection: an idle one, or a new one within the limits.
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

    /// States where a server listens. Connections to another address, or to a process started at another
    /// time, are not used again.
    void set_server(ServerId server, const net::Tcp::endpoint& address, Millis started_at);
    void forget_server(ServerId server);
    void close_idle(ServerId server);

    /// Starts an exchange. Where there can be no connection it ends with Outcome::not_sent.
    ExchangeId start(ServerId server, Request request, OnEnded on_ended,
                     OnResponseStarted on_response_started = nullptr);
    /// Cancels an exchange; its OnEnded is not called any more.
    /// @return false where the complete request was certainly never written.
    bool cancel(ExchangeId exchange);
    /// Whether the first byte of the request may have been sent.
    bool may_have_started(ExchangeId exchange) const;
    /// Whether the last byte of the request has been handed to the kernel.
    bool is_written(ExchangeId exchange) const;

    const Stats& stats() const { return *resources_.stats; }
    /// Changes how many connections may be open. Of those above the limit the ones idle longest are closed at
    /// once, the others as their exchanges end.
    void limit_connections(std::size_t max_connections);

private:
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
    struct Server {
        net::Tcp::endpoint address;
        Millis started_at = 0;
        /// Counted over all servers; 0: not set yet.
        std::uint64_t incarnation = 0;
        /// The most recently used last.
        std::vector<ConnectionPtr> idle;
    };

    void on_reusable(const ConnectionPtr& connection) override;
    void on_closed(const UpstreamConnection& connection) override;
    void on_exchange_ended(const UpstreamExchange& exchange, Outcome outcome, Response response) override;

    ConnectionPtr take_idle(Server& server);
    bool make_room();
    static void drop_idle(Server& server);

    UpstreamResources resources_;
    std::unordered_map<ServerId, Server> servers_;
    std::unordered_map<ExchangeId, ConnectionPtr> exchanges_;
    ExchangeId next_exchange_ = 1;
    std::uint64_t next_incarnation_ = 1;
};

}  // namespace mothring::node
