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

constexpr Millis kAcceptPause = 20;    // when no descriptor is to be had
constexpr int kConnectionsInARow = 8;  // accepted before other work has its turn

// New connections go to the second of the sockets that share the address: the one that listened last, as the
// first one's leaving makes it the first again. Where there is no second, or no steering, the kernel spreads
// them by itself.
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
    error_code ignored;  // where it can't be shared, binding tells
    if (shared) acceptor_.set_option(ReusePort(true), ignored);
    acceptor_.bind(endpoint);
    address_ = acceptor_.local_endpoint();
    acceptor_.non_blocking(true);
    // Else Asio waits for the next connection, with no limit, where one has been aborted.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    acceptor_.listen(asio::socket_base::max_listen_connections);
    if (shared) steer_to_latest(acceptor_.native_handle());
}

// ---- Accepting ----

void DownstreamListener::resume_accepting() {
    if (accepting_ || !acceptor_.is_open() || !make_room()) return;
    acceptor_.async_wait(net::Tcp::acceptor::wait_read, [this](error_code failed) {
        if (failed == asio::error::operation_aborted) return;
        accepting_ = false;
        accept_waiting();
    });
    accepting_ = true;  // not where that has thrown
}

// Asio's own accept would lose its handler, and all connections after it, where there is no memory for one.
void DownstreamListener::accept_waiting() {
    for (int turns = 0; turns < kConnectionsInARow && acceptor_.is_open() && make_room(); ++turns) {
        const error_code failed = accept_one();
        if (net::is_transient(failed)) break;
        if (failed && accept_pace_.must_pause_after(failed)) return accept_after_pause();
    }
    resume_accepting();
}

// Without waiting: `would_block` where there is none.
error_code DownstreamListener::accept_one() {
    net::Tcp::socket socket(io_);
    error_code failed;
    acceptor_.accept(socket, failed);
    if (failed) return failed;
    accept_pace_.on_success();
    take_connection(std::move(socket));
    return {};
}

void DownstreamListener::accept_after_pause() {
    accept_timer_.expires_after(net::to_duration(kAcceptPause));
    accept_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) resume_accepting();
    });
}

void DownstreamListener::take_connection(net::Tcp::socket socket) {
    Connection::Owner& owner = *this;
    const auto connection = std::make_shared<Connection>(owner, io_, std::move(socket));
    connections_.insert(connection);
    connection->guarded([&] { connection->start(); });
}

// ---- The limit on connections ----

bool DownstreamListener::has_newcomer() {
    return (net::poll_events(acceptor_.native_handle(), POLLIN) & POLLIN) != 0;
}

bool DownstreamListener::make_room() {
    return limit_.make_room([this] { return has_newcomer(); });
}

void DownstreamListener::limit_connections(std::size_t connections) {
    limit_.set_limit(connections, [this] { return has_newcomer(); });
}

void DownstreamListener::became_idle() {
    if (limit_.is_reached()) asio::post(io_, [this] { resume_accepting(); });
}

void DownstreamListener::closed(const ConnectionPtr& connection) {
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

Millis DownstreamListener::unread_time(RequestId request) const {
    const auto at = requests_.find(request);
    return at == requests_.end() ? 0 : at->second->unread_time();
}

// The connection whose request now gets its response; null: none waits for one.
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

void DownstreamListener::end_waiting_connections() {
    if (acceptor_.is_open()) stop_accepting();
    for (const ConnectionPtr& connection :
         std::vector<ConnectionPtr>(connections_.begin(), connections_.end()))
        connection->end_reading();
}

// Takes what the machine has accepted by now, however long it takes to have a descriptor for it. Whether that
// is all; else it goes on after a pause.
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

// What is idle after the last connection has been accepted is ended.
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
