/// @file
/// A connection to a server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "mothring/types.hpp"
#include "net/address.hpp"
#include "net/body_buffer.hpp"
#include "net/http_message.hpp"
#include "node/upstream_exchange.hpp"

namespace mothring::node {

/// Limits of a pool and of its connections.
struct UpstreamLimits {
    static constexpr Millis kConnectTimeout = 250;
    static constexpr Millis kIdleTimeout = 14000;
    static constexpr std::size_t kMaxConnections = 512;
    static constexpr Millis kBufferingTime = 50;
    static constexpr Millis kReuseDelay = 10;
    static constexpr Millis kStreamIdleTimeout = 300000;

    /// Time within which a connection must be established.
    Millis connect_timeout = kConnectTimeout;
    /// Time after which an idle connection is closed.
    Millis idle_timeout = kIdleTimeout;
    /// Largest number of connections that are open at the same time, over all servers.
    std::size_t max_connections = kMaxConnections;
    /// Time for which a response of unknown length is buffered, so that the request can be retried, before it
    /// is streamed.
    Millis buffering_time = kBufferingTime;
    /// Time between a response and the next request on the same connection. An unsolicited second response
    /// arrives a few milliseconds after the first, and HTTP/1.1 has no field that shows which request a
    /// response belongs to.
    Millis reuse_delay = kReuseDelay;
    /// Time without received bytes after which a streamed response fails. A streamed response has no
    /// deadline, so this only ends the wait for a server that never returns.
    Millis stream_idle_timeout = kStreamIdleTimeout;
};

/// Counters of a pool.
struct UpstreamStats {
    /// Number of connections that are open.
    std::size_t open = 0;
    /// Number of connections opened since the start.
    std::size_t opened = 0;
    /// Number of attempts whose request has been sent completely.
    std::uint64_t attempts = 0;
};

/// Resources that all connections of a pool share.
struct UpstreamResources {
    boost::asio::io_context& io;
    UpstreamLimits limits;
    std::shared_ptr<net::BufferBudget> budget;
    std::shared_ptr<UpstreamStats> stats = std::make_shared<UpstreamStats>();
};

/// Sends requests to a server and receives the responses, one exchange at a time. The connection waits for
/// its socket to become readable also while it is idle, which detects that the server has closed it. It reads
/// only during an exchange.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    /// Largest number of bytes per read before the body of a response.
    static constexpr std::size_t kHeadReadSize = 4 * 1024;

    /// Interface of the pool, which must outlive the open connections.
    class Owner {
    public:
        /// Called when an exchange has ended and the connection can carry another one.
        virtual void on_reusable(const std::shared_ptr<UpstreamConnection>& connection) = 0;
        /// Called when the connection is about to be closed.
        virtual void on_closed(const UpstreamConnection& connection) = 0;
        /// Called when an exchange has ended, after on_reusable() or on_closed().
        virtual void on_exchange_ended(const UpstreamExchange& exchange, Outcome outcome,
                                       UpstreamResponse response) = 0;

    protected:
        ~Owner() = default;
    };

    /// @param resources  must outlive the connection while it is open.
    /// @param incarnation  number that the owner has given to the server's process.
    UpstreamConnection(Owner& owner, const UpstreamResources& resources, ServerId server,
                       std::uint64_t incarnation);
    ~UpstreamConnection() { close(); }
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    ServerId server() const { return server_; }
    std::uint64_t incarnation() const { return incarnation_; }

    /// Starts an exchange. The request is sent as soon as the connection is established.
    void start_exchange(ExchangeId id, UpstreamRequest request, UpstreamExchange::Callbacks callbacks);
    /// Starts to establish the connection.
    void connect(const net::Tcp::endpoint& address);

    /// Marks the connection as idle and starts the idle time-out.
    void become_idle();
    /// Returns whether the idle connection can carry another exchange: it is still open, has received no
    /// bytes since it became idle, and has been idle for less than the idle time-out.
    bool is_usable();
    std::chrono::steady_clock::time_point idle_since() const { return idle_since_; }

    /// Returns whether the first byte of the request may have been sent.
    bool may_have_started() const { return exchange_ && exchange_->writer().has_started(); }
    /// Returns whether the complete request has been handed to the kernel.
    bool is_written() const { return exchange_ && exchange_->writer().is_written(); }

    /// Cancels the exchange without a call of OnExchangeEnded, and closes the connection.
    /// @return whether the complete request had been written.
    bool cancel();
    void close();
    bool is_open() const { return owner_ != nullptr; }

    // ---- For the current exchange ----

    net::Tcp::socket& socket() { return socket_; }
    /// Returns the buffer of received bytes that have not been parsed.
    boost::beast::flat_buffer& received() { return received_; }
    const UpstreamLimits& limits() const { return resources_.limits; }
    const std::shared_ptr<net::BufferBudget>& budget() const { return resources_.budget; }

    /// Sets the timer. Its expiry fails the exchange if the connection is not established, closes the
    /// connection if it is idle, and is passed to the exchange's reader otherwise.
    void set_timeout(Millis length);
    /// Stops the timer.
    void clear_timeout() { timer_.expires_at(boost::asio::steady_timer::time_point::max()); }

    /// Waits until the socket is readable, then continues reading.
    void wait_readable();
    bool is_waiting_readable() const { return is_waiting_readable_; }

    /// Counts an attempt whose request has been sent completely.
    void count_attempt() { ++stats_->attempts; }
    /// Ends the exchange, passes the connection back to the pool or closes it, and reports the outcome.
    void end_exchange(ConnectionUse use, Outcome outcome, UpstreamResponse response);

private:
    void on_connected(boost::system::error_code failed);
    void on_connect_failed(boost::system::error_code why);
    bool is_not_established();
    void on_timeout();

    Owner* owner_;  // null if the connection is closed
    const UpstreamResources& resources_;
    const std::shared_ptr<UpstreamStats> stats_;
    const ServerId server_;
    const std::uint64_t incarnation_;
    net::Tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer received_{net::kMaxHeaderBytes + kHeadReadSize};
    std::shared_ptr<UpstreamExchange> exchange_;  // null if the connection is idle
    std::chrono::steady_clock::time_point idle_since_;
    bool is_connected_ = false;
    bool is_waiting_readable_ = false;
};

}  // namespace mothring::node
