/// @file
/// The application's side: takes its requests over HTTP and gives each of them its one response.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "mothring/balancer.hpp"
#include "net/body_buffer.hpp"
#include "net/socket_errors.hpp"
#include "node/connection_limit.hpp"
#include "node/downstream_connection.hpp"
#include "node/incoming_request.hpp"

namespace mothring::node {

/// Accepts the application's connections and holds them, within a limit, until they end.
class DownstreamListener final : private downstream::Connection::Owner {
public:
    using RequestHead = downstream::RequestHead;
    using ResponseHead = downstream::ResponseHead;
    using Response = downstream::Response;
    using IncomingRequest = downstream::IncomingRequest;
    using Callbacks = downstream::Callbacks;

    /// Listens at once.
    /// @param connections  how many may be open at a time.
    /// @param shared  with another process of this sidecar, where there is one; new connections then go to
    /// the
    ///     one that listened last.
    /// @throws boost::system::system_error where it can't listen.
    DownstreamListener(boost::asio::io_context& io, const net::Tcp::endpoint& listen, std::size_t connections,
                       bool shared, std::shared_ptr<net::BufferBudget> budget, Callbacks callbacks);
    ~DownstreamListener();
    DownstreamListener(const DownstreamListener&) = delete;
    DownstreamListener& operator=(const DownstreamListener&) = delete;

    /// Whether the client of a request that waits for its response has closed its connection, also where that
    /// stands behind bytes that are not read yet. The connection is then closed, and its client reported as
    /// disconnected, in a later turn.
    bool has_client_left(RequestId request);
    /// For how long bytes of a request that is still coming may have stood unread, as there was no room for
    /// them; 0: not at all.
    Millis unread_time(RequestId request) const;
    /// The final response; the first one counts.
    void respond(RequestId request, Response response);
    /// The same for one whose body is passed on as it comes.
    void stream_response(RequestId request, ResponseHead head, std::shared_ptr<net::BodyBuffer> body);
    /// Goes on taking requests for that long, closing each connection with its response, then only finishes.
    void drain(Millis accepting);
    /// Of a drain, when nobody may wait any longer: a request that has come completely by now is still taken,
    /// a client that has sent only a part of one is told so, and the other connections are ended.
    void end_waiting_connections();
    std::size_t connection_count() const { return connections_.size(); }
    net::Tcp::endpoint address() const { return address_; }
    bool draining() const { return draining_; }
    /// Idle connections make room at once, the longest idle first, the others as they end.
    void limit_connections(std::size_t connections);

    /// Takes new connections, where it does not already. To be called after a failure that may have ended it.
    void resume_accepting();

private:
    // ---- Of a connection ----
    bool is_draining() const override { return draining_; }
    const Callbacks& callbacks() const override { return callbacks_; }
    std::shared_ptr<net::BufferBudget> body_budget() const override { return budget_; }
    RequestId next_request_id() override { return next_request_++; }
    void add_request(RequestId id, downstream::ConnectionPtr connection) override;
    void remove_request(RequestId id) override { requests_.erase(id); }
    void became_idle() override;
    void closed(const downstream::ConnectionPtr& connection) override;

    void listen(const net::Tcp::endpoint& endpoint, bool shared);
    void accept_waiting();
    boost::system::error_code accept_one();
    void accept_after_pause();
    void take_connection(net::Tcp::socket socket);
    bool accept_remaining();
    void stop_accepting();
    bool make_room();
    bool has_newcomer();
    downstream::ConnectionPtr take_request(RequestId id);

    boost::asio::io_context& io_;
    net::Tcp::acceptor acceptor_;
    net::Tcp::endpoint address_;
    downstream::ConnectionLimit::Connections connections_;
    downstream::ConnectionLimit limit_;
    std::shared_ptr<net::BufferBudget> budget_;
    Callbacks callbacks_;
    boost::asio::steady_timer accept_timer_;  // of the next attempt to accept, after a pause
    net::FailurePace accept_pace_;
    boost::asio::steady_timer drain_timer_;
    std::unordered_map<RequestId, downstream::ConnectionPtr> requests_;  // without a response yet
    RequestId next_request_ = 1;
    bool draining_ = false;
    bool accepting_ = false;
};

}  // namespace mothring::node
