/// @file
/// The downstream side: receives the clients' requests over HTTP and sends exactly one response to each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "mothring/balancer.hpp"
#include "net/body_buffer.hpp"
#include "net/log.hpp"
#include "net/socket_errors.hpp"
#include "node/connection_limit.hpp"
#include "node/downstream_connection.hpp"
#include "node/incoming_request.hpp"

namespace mothring::node {

/// Accepts client connections and owns them, up to a limit, until they end.
class DownstreamListener final : private downstream::Connection::Owner {
public:
    using RequestHead = downstream::RequestHead;
    using ResponseHead = downstream::ResponseHead;
    using Response = downstream::Response;
    using IncomingRequest = downstream::IncomingRequest;
    using Callbacks = downstream::Callbacks;

    /// Starts listening.
    /// @param connections  maximum number of open connections.
    /// @param shared  whether to share the address with another process of this sidecar during a hot restart;
    ///     new connections then go to the process that started listening last.
    /// @throws boost::system::system_error if it cannot listen.
    DownstreamListener(boost::asio::io_context& io, const net::Tcp::endpoint& listen, std::size_t connections,
                       bool shared, std::shared_ptr<net::BufferBudget> budget, Callbacks callbacks);
    ~DownstreamListener();
    DownstreamListener(const DownstreamListener&) = delete;
    DownstreamListener& operator=(const DownstreamListener&) = delete;

    /// Returns whether the client of a request that waits for its response has closed its connection, also if
    /// unread bytes precede the end of the stream. If so, a later turn of the event loop closes the
    /// connection and reports the client as disconnected.
    bool has_client_left(RequestId request);
    /// Returns whether the client of a request that waits for its response may have left unseen.
    bool may_have_left_unseen(RequestId request);
    /// Returns how long bytes of a partly received request may have been waiting unread for buffer space; 0
    /// if none have.
    Millis unread_time(RequestId request) const;
    /// Sends the final response. Only the first response to a request has an effect.
    void respond(RequestId request, Response response);
    /// Sends the final response with a body that is forwarded as it arrives.
    void stream_response(RequestId request, ResponseHead head, std::shared_ptr<net::BodyBuffer> body);
    /// Starts draining: accepts requests for the given time and closes each connection after its response,
    /// then only completes the requests that it has accepted.
    void drain(Millis accepting);
    /// Stops accepting connections and reading requests at the end of a drain. A request that has arrived
    /// completely by now is still accepted, an incomplete one gets an error response, and idle connections
    /// are closed. A connection whose request is accepted is closed after its response.
    void close_waiting_connections();
    std::size_t connection_count() const { return connections_.size(); }
    net::Tcp::endpoint address() const { return address_; }
    /// Sets the maximum number of connections. Excess idle connections are evicted at once, longest idle
    /// first; the others count against the limit until they end.
    void limit_connections(std::size_t connections);

    /// Resumes accepting connections unless it already does. Must be called after a failure that may have
    /// stopped it.
    void resume_accepting();

private:
    // ---- Connection::Owner ----
    bool is_draining() const override { return draining_; }
    bool is_closing_idle() const override { return draining_ && !acceptor_.is_open(); }
    const Callbacks& callbacks() const override { return callbacks_; }
    std::shared_ptr<net::BufferBudget> body_budget() const override { return budget_; }
    RequestId next_request_id() override { return next_request_++; }
    void add_request(RequestId id, downstream::ConnectionPtr connection) override;
    void remove_request(RequestId id) override { requests_.erase(id); }
    void on_idle() override;
    void on_closed(const downstream::ConnectionPtr& connection) override;

    void listen(const net::Tcp::endpoint& endpoint, bool shared);
    void accept_pending();
    boost::system::error_code accept_one();
    void accept_after_pause();
    void add_connection(net::Tcp::socket socket);
    bool accept_remaining();
    void stop_accepting();
    bool ensure_capacity();
    void log_at_limit();
    bool has_pending_connection();
    downstream::ConnectionPtr take_request(RequestId id);

    boost::asio::io_context& io_;
    net::Tcp::acceptor acceptor_;
    net::Tcp::endpoint address_;
    downstream::ConnectionLimit::Connections connections_;
    downstream::ConnectionLimit limit_;
    std::shared_ptr<net::BufferBudget> budget_;
    Callbacks callbacks_;
    boost::asio::steady_timer accept_timer_;  // for the next attempt to accept, after a pause
    net::FailurePace accept_pace_;
    net::RateLimitedLog limit_log_{std::chrono::seconds(1)};
    boost::asio::steady_timer drain_timer_;
    /// The connections of the requests that have no response yet.
    std::unordered_map<RequestId, downstream::ConnectionPtr> requests_;
    RequestId next_request_ = 1;
    bool draining_ = false;
    bool accepting_ = false;
};

}  // namespace mothring::node
