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

void UpstreamConnection::carry(ExchangeId id, UpstreamRequest request,
                               UpstreamExchange::Callbacks callbacks) {
    const auto exchange =
        std::make_shared<UpstreamExchange>(shared_from_this(), id, std::move(request), std::move(callbacks));
    exchange_ = exchange;
    if (!is_connected_) return;
    expire_never();
    exchange->writer().begin();
}

void UpstreamConnection::connect(const net::Tcp::endpoint& address) {
    expire_after(limits().connect_timeout);
    error_code error;
    socket_.open(address.protocol(), error);
    if (error) {  // out of descriptors
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
    if (!failed && is_never_connected()) failed = asio::error::try_again;
    if (failed || !exchange_) return on_connect_failed(failed);
    is_connected_ = true;
    expire_never();
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(net::Tcp::no_delay(true), ignored);
    wait_readable();
    // Much may have happened since the server was chosen.
    const auto exchange = exchange_;
    UpstreamRequest& request = exchange->request();
    if (!request.may_begin || request.may_begin(request.message)) return exchange->writer().begin();
    if (exchange_) end_exchange(ConnectionUse::reused, Outcome::not_sent, {});
}

/// Asio takes EAGAIN for a connection that is being established, and the first look at it for its success. A
/// connection that has been established, and has ended, is shut down for reading too.
bool UpstreamConnection::is_never_connected() {
    const short events = net::poll_events(socket_.native_handle(), POLLRDHUP);
    return (events & POLLHUP) != 0 && (events & POLLRDHUP) == 0;
}

/// Only what is the server's fault counts against it.
void UpstreamConnection::on_connect_failed(error_code why) {
    if (!exchange_) return close();
    const Outcome outcome = net::is_local_failure(why) ? Outcome::not_sent : Outcome::connect_failed;
    end_exchange(ConnectionUse::closed, outcome, {});
}

void UpstreamConnection::rest() {
    idle_since_ = std::chrono::steady_clock::now();
    expire_after(limits().idle_timeout);
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
    const auto streamed_body = exchange ? exchange->release() : nullptr;
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

void UpstreamConnection::expire_after(Millis length) {
    timer_.expires_after(net::to_duration(length));
    timer_.async_wait([weak = weak_from_this(), due = timer_.expiry()](error_code cancelled) {
        const auto self = weak.lock();
        if (cancelled || !self) return;
        if (self->timer_.expiry() == due && self->is_open()) self->on_expired();
    });
}

void UpstreamConnection::on_expired() {
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
        // It has ended, or sends what nobody asked for.
        if (failed || !self->exchange_) return self->close();
        self->exchange_->reader().read();
    });
}

/// Whoever reads a streamed response learns of its end last: it may end the client, and all that belongs to
/// it.
void UpstreamConnection::end_exchange(ConnectionUse use, Outcome outcome, UpstreamResponse response) {
    const auto self = shared_from_this();
    Owner* const owner = owner_;
    const auto exchange = std::exchange(exchange_, nullptr);
    const auto streamed_body = exchange->release();
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
