#include "node/downstream_listener.hpp"

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "net/clock.hpp"

namespace mothring::node {

namespace asio = boost::asio;
using boost::system::error_code;
using downstream::Connection;
using downstream::ConnectionPtr;

namespace {

constexpr Millis kAcceptPause = 20;        // if a pending connection cannot be accepted now
constexpr int kMaxConsecutiveAccepts = 8;  // then other work is done first

// Steers new connections to the second socket that shares the address. That is the one that started to listen
// last, because it becomes the first when the first one closes. If there is no second socket or steering is
// not supported, the kernel distributes the connections.
void steer_to_latest(int listener) {
    std::array<sock_filter, 1> second{{BPF_STMT(BPF_RET | BPF_K, 1)}};
    const sock_fprog program{second.size(), second.data()};
    ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program);
}

}  // namespace

DownstreamListener::DownstreamListener(asio::io_context& io, const net::Tcp::endpoint& listen,
                                       std::size_t connections, bool shared,
                                       std::shared_ptr<net::BufferBudget> budget, Callbacks callbacks)
    : io_(io),
      acceptor_(io, listen.protocol()),
      limit_(connections_, connections),
      budget_(std::move(budget)),
      callbacks_(std::move(callbacks)),
      accept_timer_(io),
      drain_timer_(io) {
    this->listen(listen, shared);
    resume_accepting();
}

DownstreamListener::~DownstreamListener() {
    callbacks_.on_client_disconnected = [](RequestId) {};
    callbacks_.on_response_ended = [](RequestId, bool) {};
    callbacks_.on_drained = nullptr;
    for (const ConnectionPtr& connection : std::exchange(connections_, {})) connection->close();
}

void DownstreamListener::listen(const net::Tcp::endpoint& endpoint, bool shared) {
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    error_code ignored;  // if the address cannot be shared, bind() fails
    if (shared) acceptor_.set_option(ReusePort(true), ignored);
    acceptor_.bind(endpoint);
    address_ = acceptor_.local_endpoint();
    acceptor_.non_blocking(true);
    // Without this option, Asio waits indefinitely for the next connection if one has been aborted.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    acceptor_.listen(asio::socket_base::max_listen_connections);
    if (shared) steer_to_latest(acceptor_.native_handle());
}

// ---- Accepting ----

// Waits for a connection at the limit too: some connections are evicted only for a pending one.
void DownstreamListener::resume_accepting() {
    if (accepting_ || !acceptor_.is_open()) return;
    ensure_capacity();
    acceptor_.async_wait(net::Tcp::acceptor::wait_read, [this](error_code failed) {
        if (failed == asio::error::operation_aborted) return;
        accepting_ = false;
        accept_pending();
    });
    accepting_ = true;  // stays false if async_wait() has thrown
}

// Accepts the pending connections. Asio's async_accept() is not used: if it failed to allocate memory, its
// handler would be lost and no connection accepted any more.
void DownstreamListener::accept_pending() {
    for (int accepts = 0; accepts < kMaxConsecutiveAccepts && acceptor_.is_open(); ++accepts) {
        if (!ensure_capacity()) {
            if (!has_pending_connection()) break;
            log_at_limit();
            return accept_after_pause();
        }
        const error_code failed = accept_one();
        if (net::is_transient(failed)) break;
        if (failed && accept_pace_.must_pause_after(failed)) return accept_after_pause();
    }
    resume_accepting();
}

// Accepts one connection without blocking. Returns `would_block` if none is pending.
error_code DownstreamListener::accept_one() {
    net::Tcp::socket socket(io_);
    error_code failed;
    acceptor_.accept(socket, failed);
    if (failed) return failed;
    accept_pace_.on_success();
    add_connection(std::move(socket));
    return {};
}

void DownstreamListener::accept_after_pause() {
    accept_timer_.expires_after(net::to_duration(kAcceptPause));
    accept_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) resume_accepting();
    });
}

void DownstreamListener::add_connection(net::Tcp::socket socket) {
    Connection::Owner& owner = *this;
    const auto connection = std::make_shared<Connection>(owner, io_, std::move(socket));
    connections_.insert(connection);
    connection->guarded([&] { connection->start(); });
}

// ---- The limit on connections ----

bool DownstreamListener::has_pending_connection() {
    return (net::poll_events(acceptor_.native_handle(), POLLIN) & POLLIN) != 0;
}

bool DownstreamListener::ensure_capacity() {
    return limit_.ensure_capacity([this] { return has_pending_connection(); });
}

// Logs what holds the connections while new ones have to wait.
void DownstreamListener::log_at_limit() {
    using downstream::EvictionRank;
    limit_log_.log(net::LogLevel::warn, "connections.at_limit",
                   {{"connections", connections_.size()},
                    {"shutting_down", limit_.count(EvictionRank::shutting_down)},
                    {"within_body", limit_.count(EvictionRank::within_body)},
                    {"stalled_response", limit_.count(EvictionRank::stalled_response)},
                    {"awaiting_response", limit_.count(EvictionRank::awaits_response)}});
}

void DownstreamListener::limit_connections(std::size_t connections) {
    limit_.set_limit(connections, [this] { return has_pending_connection(); });
}

void DownstreamListener::on_idle() {
    if (limit_.is_reached()) asio::post(io_, [this] { resume_accepting(); });
}

void DownstreamListener::on_closed(const ConnectionPtr& connection) {
    if (connections_.erase(connection) == 0) return;
    asio::post(io_, [this] { resume_accepting(); });
    if (draining_ && !acceptor_.is_open() && connections_.empty() && callbacks_.on_drained)
        asio::post(io_, callbacks_.on_drained);
}

// ---- Requests ----

void DownstreamListener::add_request(RequestId id, ConnectionPtr connection) {
    requests_[id] = std::move(connection);
}

bool DownstreamListener::has_client_left(RequestId request) {
    const auto at = requests_.find(request);
    if (at == requests_.end() || !at->second->has_client_left()) return false;
    asio::post(io_, [connection = at->second] { connection->close(); });
    return true;
}

bool DownstreamListener::may_have_left_unseen(RequestId request) {
    const auto at = requests_.find(request);
    return at != requests_.end() && at->second->may_have_left_unseen();
}

Millis DownstreamListener::unread_time(RequestId request) const {
    const auto at = requests_.find(request);
    return at == requests_.end() ? 0 : at->second->unread_time();
}

// Removes a request from those without a response and returns its connection; null if the request is unknown.
ConnectionPtr DownstreamListener::take_request(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return nullptr;
    ConnectionPtr connection = at->second;
    requests_.erase(at);
    return connection;
}

void DownstreamListener::respond(RequestId request, Response response) {
    const ConnectionPtr connection = take_request(request);
    if (!connection) return;
    connection->guarded([&] { connection->respond(std::move(response)); });
}

void DownstreamListener::stream_response(RequestId request, ResponseHead head,
                                         std::shared_ptr<net::BodyBuffer> body) {
    const ConnectionPtr connection = take_request(request);
    if (!connection) return;
    connection->guarded([&] { connection->stream_response(std::move(head), std::move(body)); });
}

// ---- Draining ----

void DownstreamListener::drain(Millis accepting) {
    draining_ = true;
    drain_timer_.expires_after(net::to_duration(accepting));
    drain_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) stop_accepting();
    });
}

void DownstreamListener::close_waiting_connections() {
    if (acceptor_.is_open()) stop_accepting();
    for (const ConnectionPtr& connection :
         std::vector<ConnectionPtr>(connections_.begin(), connections_.end()))
        connection->end_reading();
}

// Accepts all connections that are in the kernel's backlog. If no descriptor is free, continues after a
// pause, as often as necessary. Returns whether the backlog is empty.
bool DownstreamListener::accept_remaining() {
    error_code failed;
    while (failed != asio::error::would_block) {
        failed = accept_one();
        const bool has_failed = failed && failed != asio::error::would_block;
        if (has_failed && accept_pace_.must_pause_after(failed)) {
            drain(kAcceptPause);
            return false;
        }
    }
    return true;
}

// Accepts the last pending connections, closes the listening socket and shuts down the idle connections.
void DownstreamListener::stop_accepting() {
    if (!accept_remaining()) return;
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    for (const ConnectionPtr& connection :
         std::vector<ConnectionPtr>(connections_.begin(), connections_.end()))
        connection->shut_down_if_idle();
    if (connections_.empty() && callbacks_.on_drained) asio::post(io_, callbacks_.on_drained);
}

}  // namespace mothring::node
