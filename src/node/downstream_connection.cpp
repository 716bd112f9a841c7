#include "node/downstream_connection.hpp"

#include <poll.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/clock.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node::downstream {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr Millis kReaderTimeout = 10000;     // for a client that reads nothing of its response
constexpr Millis kStallTime = 3000;          // pause of a server within a response that is a long one
constexpr Millis kStallCheckInterval = 500;  // at which a stalled connection looks for the client's end
constexpr Millis kLingerTimeout = 300;       // for the client to close after our shutdown
constexpr Millis kMaxLingerTimeout = 3000;   // the same in total, if the client keeps sending
constexpr std::size_t kMaxVisibleUnread = 32 * 1024;  // half of the smallest receive window on Linux
constexpr Millis kMaxUnseenTime = 50;   // a client may be sent for after its end for up to 100 ms
constexpr Millis kLongIdleTime = 2000;  // after it, an idle connection is evicted earlier

Response plain_response(http::status status) {
    Response response(status, kHttp11);
    const auto reason = http::obsolete_reason(status);
    response.body() = std::string(reason.data(), reason.size());
    response.set(http::field::content_type, "text/plain");
    return response;
}

}  // namespace

Connection::Connection(Owner& owner, asio::io_context& io, net::Tcp::socket socket)
    : owner_(&owner),
      socket_(std::move(socket)),
      timer_(io),
      unparsed_head_(owner.body_budget()),
      unread_ages_([this] { return count_unread(); }),
      writer_(*this, socket_,
              {[this] { on_stream_progress(); }, [this] { on_stream_waiting(); },
               [this](bool complete, bool keep_alive) { end_response(complete, keep_alive); }}) {
    error_code ignored;
    socket_.set_option(net::Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

ConnectionPtr Connection::self() { return std::static_pointer_cast<Connection>(shared_from_this()); }

void Connection::start() {
    active_at_ = SteadyClock::now();
    client_seen_at_ = active_at_;
    set_time_limit(timeouts_.on_connected(active_at_));
    wait_readable();
}

// ---- Observers ----

// Peeks at one byte and returns the error that reading it would give.
error_code Connection::peek() {
    char byte = 0;
    return net::retry_while_interrupted([&](error_code& error) {
        socket_.receive(asio::buffer(&byte, 1), net::Tcp::socket::message_peek, error);
    });
}

bool Connection::has_read_all() {
    const error_code error = peek();
    return error == asio::error::would_block || error == asio::error::eof;
}

bool Connection::has_client_left() {
    constexpr short kEnded = POLLRDHUP | POLLHUP | POLLERR;
    return (net::poll_events(socket_.native_handle(), kEnded) & kEnded) != 0;
}

// Until a limit, unread bytes leave the client's machine room to deliver the end of the stream. A client that
// has closed its connection also resets it when something is written.
bool Connection::may_have_left_unseen() {
    const TimePoint now = SteadyClock::now();
    if (count_unread_in_socket() < kMaxVisibleUnread) client_seen_at_ = now;
    return now - client_seen_at_ > net::to_duration(kMaxUnseenTime);
}

Millis Connection::unread_time() const { return unread_ages_.age(SteadyClock::now()); }

EvictionRank Connection::eviction_rank() const {
    if (state_ == State::reading_head) return EvictionRank::within_head;
    if (state_ == State::shutting_down) return EvictionRank::shutting_down;
    if (is_within_body()) return EvictionRank::within_body;
    if (has_server_stalled_) return EvictionRank::stalled_response;
    if (state_ != State::idle) return EvictionRank::awaits_response;
    if (timeouts_.awaits_first_request()) return EvictionRank::awaits_first_request;
    const bool for_long = SteadyClock::now() - active_at_ >= net::to_duration(kLongIdleTime);
    return for_long ? EvictionRank::idle_for_long : EvictionRank::idle;
}

// Returns whether the next request, or the rest of the current one, has still to arrive.
bool Connection::is_request_incomplete() const {
    return state_ < State::waiting || (state_ == State::waiting && is_receiving_body());
}

// Returns whether the connection is kept open after the response. A draining listener closes it after the
// response to the last request that was read.
bool Connection::stays_open() {
    return keep_alive_ && !is_receiving_body() && (!owner_->is_draining() || has_more_requests());
}

bool Connection::has_more_requests() {
    return parser_.buffered() > 0 || (!has_ended_reading_ && !has_read_all());
}

// ---- Responses ----

void Connection::respond(Response response) {
    state_ = State::responding;
    writer_.write(std::move(response), stays_open());
}

void Connection::stream_response(ResponseHead head, std::shared_ptr<net::BodyBuffer> body) {
    state_ = State::responding;
    const BodyFraming framing = framing_of(*body, http_version_);
    keep_alive_ = keep_alive_ && framing != BodyFraming::until_close;
    writer_.stream(std::move(head), std::move(body), framing, stays_open());
}

void Connection::respond_to_health_check() {
    timeouts_.note_first_request();
    lift_time_limit();
    const bool is_get = parser_.is_get();
    respond(plain_response(is_get ? http::status::ok : http::status::method_not_allowed));
}

void Connection::reject(http::status status) {
    if (state_ == State::responding) return;  // the response that is being written ends the connection
    if (id_ != 0) {
        owner_->remove_request(id_);
        owner_->callbacks().on_client_disconnected(id_);
        report_response_ended(*owner_, false);
    }
    keep_alive_ = false;
    respond(plain_response(status));
}

void Connection::report_response_ended(Owner& owner, bool complete) {
    if (id_ != 0) owner.callbacks().on_response_ended(std::exchange(id_, 0), complete);
}

void Connection::on_stream_progress() {
    is_awaiting_server_ = false;
    has_server_stalled_ = false;
    set_time_limit(SteadyClock::now() + net::to_duration(kReaderTimeout));
}

// A client that is still sending its request has the time limit for that instead.
void Connection::on_stream_waiting() {
    if (is_receiving_body()) return lift_time_limit();
    is_awaiting_server_ = true;
    active_at_ = SteadyClock::now();
    set_time_limit(active_at_ + net::to_duration(kStallTime));
}

// A server that pauses for long may still give the rest, so the response goes on as long as the client waits.
// While nothing is written, the client's end is only seen by looking for it.
void Connection::on_stream_stalled() {
    if (has_client_left()) return close();
    set_time_limit(SteadyClock::now() + net::to_duration(kStallCheckInterval));
    if (std::exchange(has_server_stalled_, true)) return;
    owner_->callbacks().on_response_stalled(id_);
}

void Connection::end_response(bool complete, bool keep_alive) {
    const bool leaves_unread = is_receiving_body();
    if (body_) body_->on_writable = nullptr;
    body_.reset();
    head_.reset();
    parser_.end_request();
    writer_.stop_streaming();
    is_awaiting_server_ = false;
    has_server_stalled_ = false;
    report_response_ended(*owner_, complete);
    lift_time_limit();
    if (!complete) return close();
    const bool was_last = has_ended_reading_ && parser_.buffered() == 0;
    // The response may have announced that the connection is kept, before the drain began.
    const bool is_drained = owner_->is_closing_idle() && !has_more_requests();
    if (!keep_alive || leaves_unread || was_last || is_drained) return shut_down(kMaxLingerTimeout);
    state_ = State::idle;
    active_at_ = SteadyClock::now();
    client_seen_at_ = active_at_;
    note_next_request();
    owner_->on_idle();
    if (parser_.buffered() > 0) return read();
    parser_.release_unused_memory();
    wait_readable();
}

// ---- Closing ----

void Connection::close() {
    if (!owner_) return;
    Owner* const owner = std::exchange(owner_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    const bool has_no_response = id_ != 0 && (state_ != State::responding || writer_.is_streaming());
    if (body_) body_->on_writable = nullptr;
    writer_.stop_streaming();
    if (has_no_response) {
        owner->remove_request(id_);
        owner->callbacks().on_client_disconnected(id_);
    }
    report_response_ended(*owner, false);
    owner->on_closed(self());
}

void Connection::shut_down(Millis max_wait) {
    state_ = State::shutting_down;
    active_at_ = SteadyClock::now();
    error_code ignored;
    socket_.shutdown(net::Tcp::socket::shutdown_send, ignored);
    shutdown_time_limit_ = SteadyClock::now() + net::to_duration(max_wait);
    set_time_limit(SteadyClock::now() + net::to_duration(kLingerTimeout));
    discard();
}

// Reads and discards bytes until the client closes; they are not forwarded.
void Connection::discard() {
    parser_.discard();
    socket_.async_read_some(parser_.prepare(RequestParser::kHeadReadSize),
                            [connection = self()](error_code failed, std::size_t) {
                                if (failed) return connection->close();
                                if (!connection->owner_) return;
                                const TimePoint next = SteadyClock::now() + net::to_duration(kLingerTimeout);
                                connection->set_time_limit(std::min(connection->shutdown_time_limit_, next));
                                connection->discard();
                            });
}

void Connection::shut_down_if_idle() {
    const bool is_idle = state_ == State::idle && parser_.buffered() == 0 && has_read_all();
    if (is_idle) shut_down(kMaxLingerTimeout);
}

void Connection::evict() {
    if (timeouts_.awaits_first_request() || state_ != State::idle)
        close();
    else
        shut_down(kLingerTimeout);
}

void Connection::evict_at_once() {
    if (is_within_body()) reject(http::status::service_unavailable);
    close();
}

void Connection::end_reading() {
    if (has_ended_reading_) return;
    if (is_reading_head() || is_receiving_body()) read();
    if (!owner_ || state_ == State::shutting_down) return;
    has_ended_reading_ = true;
    if (state_ != State::responding) reject_incomplete();
}

void Connection::reject_incomplete() {
    if (state_ == State::idle) return shut_down(kLingerTimeout);
    if (id_ == 0 || is_receiving_body()) reject(http::status::service_unavailable);
}

// ---- Time limits ----

void Connection::set_time_limit(TimePoint time) {
    time_limit_ = time;
    timer_.expires_at(time);
    timer_.async_wait([weak = weak_from_this(), this, time](error_code cancelled) {
        const auto connection = weak.lock();
        if (cancelled || !connection || time_limit_ != time) return;
        connection->guarded([this] { on_time_limit(); });
    });
}

void Connection::lift_time_limit() {
    time_limit_ = {};
    timer_.cancel();
}

void Connection::limit_body_time() { set_time_limit(timeouts_.body_deadline(SteadyClock::now())); }

// Reads first what has arrived by now. A connection without a complete request is then shut down gracefully;
// a client that does not read its response is disconnected at once.
void Connection::on_time_limit() {
    if (is_awaiting_server_) return on_stream_stalled();
    if (is_request_incomplete()) {
        read();
        if (!owner_ || !is_request_incomplete()) return;
        if (time_limit_ == TimePoint{} || time_limit_ > SteadyClock::now()) return;
    }
    const bool is_unreported = id_ == 0 && state_ < State::waiting;
    if (is_unreported)
        shut_down(kLingerTimeout);
    else
        close();
}

}  // namespace mothring::node::downstream
