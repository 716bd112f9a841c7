/// @file
/// One connection to a server: connecting, carrying an exchange, or idle.
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

/// The limits of a pool and of its connections.
struct UpstreamLimits {
    static constexpr Millis kConnectTimeout = 250;
    static constexpr Millis kIdleTimeout = 14000;
    static constexpr std::size_t kMaxConnections = 512;
    static constexpr Millis kBufferingTime = 50;
    static constexpr Millis kRestAfterResponse = 10;

    /// Until a connection has to be established.
    Millis connect_timeout = kConnectTimeout;
    /// A connection that has been idle for longer is not used any more.
    Millis idle_timeout = kIdleTimeout;
    /// Open at once, to all servers.
    std::size_t max_connections = kMaxConnections;
    /// A response of unknown length is buffered for a retry at most so long.
    Millis buffering_time = kBufferingTime;
    /// A connection is not used again for so long after a response. A second response that nobody asked for
    /// comes some milliseconds late, and nothing in it tells which request it belongs to.
    Millis rest_after_response = kRestAfterResponse;
};

/// The connections and attempts of a pool.
struct UpstreamStats {
    /// Connections open now.
    std::size_t open = 0;
    /// Connections opened so far.
    std::size_t opened = 0;
    /// Attempts sent completely so far.
    std::uint64_t attempts = 0;
};

/// What all connections of a pool share.
struct UpstreamResources {
    boost::asio::io_context& io;
    UpstreamLimits limits;
    std::shared_ptr<net::BufferBudget> budget;
    std::shared_ptr<UpstreamStats> stats = std::make_shared<UpstreamStats>();
};

/// Carries one exchange at a time. It always waits to be readable, so that it learns of its end while idle;
/// it reads only while it carries an exchange.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    /// Bytes received at a time before the body of a response has begun.
    static constexpr std::size_t kHeadReadSize = 4 * 1024;

    /// The pool, which outlives the open connections.
    class Owner {
    public:
        /// An exchange has left the connection reusable.
        virtual void on_reusable(const std::shared_ptr<UpstreamConnection>& connection) = 0;
        virtual void on_closed(const UpstreamConnection& connection) = 0;
        /// Called after on_reusable() or on_closed().
        virtual void on_exchange_ended(const UpstreamExchange& exchange, Outcome outcome,
                                       UpstreamResponse response) = 0;

    protected:
        ~Owner() = default;
    };

    /// @param resources  must outlive the connection while it is open.
    /// @param incarnation  of the server, as counted by the owner.
    UpstreamConnection(Owner& owner, const UpstreamResources& resources, ServerId server,
                       std::uint64_t incarnation);
    ~UpstreamConnection() { close(); }
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    ServerId server() const { return server_; }
    std::uint64_t incarnation() const { return incarnation_; }

    /// Takes an exchange; its request is sent once the connection is established.
    void carry(ExchangeId id, UpstreamRequest request, UpstreamExchange::Callbacks callbacks);
    void connect(const net::Tcp::endpoint& address);

    /// Begins to be idle.
    void rest();
    /// Whether nothing has come since the connection became idle, not even its end, and it has not been idle
    /// for too long.
    bool is_usable();
    std::chrono::steady_clock::time_point idle_since() const { return idle_since_; }

    /// Whether the first byte of the request may have been sent.
    bool may_have_started() const { return exchange_ && exchange_->writer().has_begun(); }
    /// Whether the last byte of the request has been handed to the kernel.
    bool is_written() const { return exchange_ && exchange_->writer().is_written(); }

    /// Cancels the exchange without calling OnExchangeEnded, and closes the connection.
    /// @return whether the complete request had been written.
    bool cancel();
    void close();
    bool is_open() const { return owner_ != nullptr; }

    // ---- For the exchange that it carries ----

    net::Tcp::socket& socket() { return socket_; }
    /// Received and not parsed yet.
    boost::beast::flat_buffer& received() { return received_; }
    const UpstreamLimits& limits() const { return resources_.limits; }
    const std::shared_ptr<net::BufferBudget>& budget() const { return resources_.budget; }

    /// Sets the timer, which reports to the exchange.
    void expire_after(Millis length);
    void expire_never() { timer_.expires_at(boost::asio::steady_timer::time_point::max()); }

    /// Resumes reading once there is something to read.
    void wait_readable();
    bool is_waiting_readable() const { return is_waiting_readable_; }

    void count_attempt() { ++stats_->attempts; }
    void end_exchange(ConnectionUse use, Outcome outcome, UpstreamResponse response);

private:
    void on_connected(boost::system::error_code failed);
    void on_connect_failed(boost::system::error_code why);
    bool is_never_connected();
    void on_expired();

    Owner* owner_;  // null: closed
    const UpstreamResources& resources_;
    const std::shared_ptr<UpstreamStats> stats_;
    const ServerId server_;
    const std::uint64_t incarnation_;
    net::Tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer received_{net::kMaxHeaderBytes + kHeadReadSize};
    std::shared_ptr<UpstreamExchange> exchange_;  // null: idle
    std::chrono::steady_clock::time_point idle_since_;
    bool is_connected_ = false;
    bool is_waiting_readable_ = false;
};

}  // namespace mothring::node
