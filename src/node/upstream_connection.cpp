#include "node/upstream_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/clock.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

namespace asio = boost::asio;
using boost::system::error_code;

UpstreamConnection::UpstreamConnection(Owner& owner, const UpstreamResources& resources, ServerId server,
                                       std::uint64_t incarnation)
    : owner_(&owner),
      resources_(resources),
      stats_(resources.stats),
      server_(server),
      incarnation_(incarnation),
      socket_(resources.io),
      timer_(resources.io) {
    ++stats_->open;
}

void UpstreamConnection::start_exchange(ExchangeId id, UpstreamRequest request,
                                        UpstreamExchange::Callbacks callbacks) {
    const auto exchange =
        std::make_shared<UpstreamExchange>(shared_from_this(), id, std::move(request), std::move(callbacks));
    exchange_ = exchange;
    if (!is_connected_) return;
    clear_timeout();
    exchange->writer().start();
}

void UpstreamConnection::connect(const net::Tcp::endpoint& address) {
    set_timeout(limits().connect_timeout);
    error_code error;
    socket_.open(address.protocol(), error);
    if (error) {  // The process has no free descriptor.
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            if (self->exchange_) self->end_exchange(ConnectionUse::closed, Outcome::not_sent, {});
        });
        return;
    }
    ++stats_->opened;
    socket_.async_connect(address,
                          [self = shared_from_this()](error_code failed) { self->on_connected(failed); });
}

void UpstreamConnection::on_connected(error_code failed) {
    if (!failed && is_not_established()) failed = asio::error::try_again;
    if (failed || !exchange_) return on_connect_failed(failed);
    is_connected_ = true;
    clear_timeout();
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(net::Tcp::no_delay(true), ignored);
    wait_readable();
    // The client may have left or the server may have started to drain while the connection was established.
    const auto exchange = exchange_;
    UpstreamRequest& request = exchange->request();
    if (!request.may_begin || request.may_begin(request.message)) return exchange->writer().start();
    if (exchange_) end_exchange(ConnectionUse::reused, Outcome::not_sent, {});
}

/// Returns whether the socket has no connection although Asio reported that it was established. Asio treats
/// EAGAIN from connect() as a connection in progress and reports success at its first poll. Such a socket
/// shows POLLHUP without POLLRDHUP; a connection that was established and then closed shows both.
bool UpstreamConnection::is_not_established() {
    const short events = net::poll_events(socket_.native_handle(), POLLRDHUP);
    return (events & POLLHUP) != 0 && (events & POLLRDHUP) == 0;
}

/// Ends the exchange. A local failure is reported as not_sent, so that it does not count against the server.
void UpstreamConnection::on_connect_failed(error_code why) {
    if (!exchange_) return close();
    const Outcome outcome = net::is_local_failure(why) ? Outcome::not_sent : Outcome::connect_failed;
    end_exchange(ConnectionUse::closed, outcome, {});
}

void UpstreamConnection::become_idle() {
    idle_since_ = std::chrono::steady_clock::now();
    set_timeout(limits().idle_timeout);
    wait_readable();
}

bool UpstreamConnection::is_usable() {
    char byte = 0;
    error_code error;
    socket_.non_blocking(true, error);
    socket_.receive(asio::buffer(&byte, sizeof byte), net::Tcp::socket::message_peek, error);
    return error == asio::error::would_block &&
           std::chrono::steady_clock::now() - idle_since_ < net::to_duration(limits().idle_timeout);
}

bool UpstreamConnection::cancel() {
    const auto exchange = std::exchange(exchange_, nullptr);
    const auto streamed_body = exchange ? exchange->detach_bodies() : nullptr;
    // Bytes that the server has not received would still be sent after a plain close, and the request would
    // run.
    error_code ignored;
    if (exchange && net::has_unsent_bytes(socket_.native_handle()))
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
    if (streamed_body) streamed_body->mark_truncated();
    return exchange && exchange->writer().is_written();
}

void UpstreamConnection::close() {
    if (!owner_) return;
    --stats_->open;
    owner_->on_closed(*this);
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

void UpstreamConnection::set_timeout(Millis length) {
    timer_.expires_after(net::to_duration(length));
    timer_.async_wait([weak = weak_from_this(), due = timer_.expiry()](error_code cancelled) {
        const auto self = weak.lock();
        if (cancelled || !self) return;
        if (self->timer_.expiry() == due && self->is_open()) self->on_timeout();
    });
}

void UpstreamConnection::on_timeout() {
    if (is_connected_ && exchange_)
        exchange_->reader().on_timeout();
    else if (exchange_)
        exchange_->fail(false);
    else
        close();
}

void UpstreamConnection::wait_readable() {
    if (is_waiting_readable_ || !is_open()) return;
    is_waiting_readable_ = true;
    socket_.async_wait(net::Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
        self->is_waiting_readable_ = false;
        if (!self->is_open()) return;
        // An idle connection has been closed by the server, or the server has sent unsolicited bytes.
        if (failed || !self->exchange_) return self->close();
        self->exchange_->reader().read();
    });
}

/// The body of a streamed response is marked as ended after everything else, because that can close the
/// client's connection and release the objects that belong to it.
void UpstreamConnection::end_exchange(ConnectionUse use, Outcome outcome, UpstreamResponse response) {
    const auto self = shared_from_this();
    Owner* const owner = owner_;
    const auto exchange = std::exchange(exchange_, nullptr);
    const auto streamed_body = exchange->detach_bodies();
    received_.shrink_to_fit();
    if (use == ConnectionUse::reused)
        owner->on_reusable(self);
    else
        close();
    owner->on_exchange_ended(*exchange, outcome, std::move(response));
    if (!streamed_body) return;
    if (outcome == Outcome::completed)
        streamed_body->mark_complete();
    else
        streamed_body->mark_truncated();
}

}  // namespace mothring::node
