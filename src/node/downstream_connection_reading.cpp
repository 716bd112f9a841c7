// Reading of requests by a downstream connection. Its other functions are in downstream_connection.cpp.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "net/clock.hpp"
#include "net/log.hpp"
#include "net/socket_errors.hpp"
#include "node/downstream_connection.hpp"

namespace mothring::node::downstream {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kBodyReadSize = 16 * 1024;  // bytes read at a time
constexpr int kMaxReadsPerTurn = 8;               // then other connections are served first
constexpr int kMaxStepsPerTurn = 64;              // reads and parsed parts; a client may send tiny parts
constexpr std::size_t kHeadCopies = 2;            // the head itself and the one that is forwarded
constexpr Millis kUnreadCountInterval = 50;       // while reading is paused
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns the log for heads that there is no memory for. A crowd of clients may send many of them.
net::RateLimitedLog& head_memory_log() {
    static net::RateLimitedLog limit(std::chrono::seconds(1));
    return limit;
}

}  // namespace

// Waits until the socket is readable, with one wait at a time. The event is a new request on an idle
// connection, the rest of an incomplete request, or the client's disconnection while a response is awaited.
void Connection::wait_readable() {
    if (is_waiting_readable_) return;
    is_waiting_readable_ = true;
    socket_.async_wait(net::Tcp::socket::wait_read, [connection = self()](error_code failed) {
        connection->is_waiting_readable_ = false;
        if (!connection->owner_) return;
        if (failed) return connection->close();
        connection->guarded([&] { connection->on_readable(); });
    });
}

void Connection::on_readable() {
    if (state_ == State::shutting_down) return;                       // discard() reads
    if (state_ == State::idle) client_seen_at_ = SteadyClock::now();  // its bytes have just arrived
    if (is_reading_head() || is_receiving_body()) return read();
    // A pipelined request stays in the socket until the current one has its response.
    const error_code error = peek();
    if (net::is_transient(error))
        wait_readable();
    else if (!error)
        note_unread();
    else if (state_ != State::responding)
        close();
}

// Reads and parses while bytes are available and there is buffer space for them.
void Connection::read() {
    int reads = 0;
    for (int steps = 0; is_reading(); ++steps) {
        if (is_receiving_body() && body_->free_space() == 0) return wait_for_body_space();
        if (steps >= kMaxStepsPerTurn || reads >= kMaxReadsPerTurn) return read_later();
        if (parser_.buffered() > 0) {
            if (!parse()) return;
        } else {
            if (!receive()) return;
            ++reads;
        }
    }
}

void Connection::read_later() {
    asio::post(socket_.get_executor(),
               [connection = self()] { connection->guarded([&] { connection->read(); }); });
}

// Reads once from the socket. Returns whether any bytes were read.
bool Connection::receive() {
    if (has_ended_reading_) {
        reject_incomplete();
        return false;
    }
    const auto space = parser_.prepare(read_size());
    std::size_t count = 0;
    const error_code error =
        net::retry_while_interrupted([&](error_code& failed) { count = socket_.read_some(space, failed); });
    if (net::is_transient(error)) {
        if (state_ == State::idle) parser_.release_unused_memory();
        const bool may_be_more = net::is_interrupted(error);
        if (!may_be_more) note_all_read();
        wait_readable();
        return false;
    }
    if (error) {
        close();
        return false;
    }
    note_received(count);
    return reserve_unparsed_head();
}

// Returns how many bytes to read at a time. A body is read only as far as there is buffer space for it,
// about.
std::size_t Connection::read_size() {
    if (!is_receiving_body()) return RequestParser::kHeadReadSize;
    return std::clamp(body_->free_space(), RequestParser::kHeadReadSize, kBodyReadSize);
}

// Returns whether there is memory for the bytes of an incomplete head; rejects the request if not.
bool Connection::reserve_unparsed_head() {
    if (!is_reading_head() || unparsed_head_.resize(parser_.buffered())) return true;
    reject_for_memory();
    return false;
}

void Connection::reject_for_memory() {
    head_memory_log().log(net::LogLevel::warn, "request.head_rejected", {{"buffered", parser_.buffered()}});
    reject(http::status::service_unavailable);
}

void Connection::note_received(std::size_t bytes) {
    parser_.commit(bytes);
    timeouts_.note_received(bytes);
    body_arrival_.note_read(bytes);
    if (state_ != State::idle) active_at_ = SteadyClock::now();
    if (is_receiving_body()) limit_body_time();
}

// Parses the buffered bytes. Returns whether to continue reading; false if more bytes have to arrive first or
// the request is complete.
bool Connection::parse() {
    if (state_ == State::idle) {
        if (!parser_.skip_line_ends()) return true;
        start_request();
    }
    net::BodyBuffer* const body = is_receiving_body() ? body_.get() : nullptr;
    const RequestParser::Step step = parser_.parse(body);
    unread_ages_.note_read(step.bytes, SteadyClock::now());
    // A server that has received part of a request starts to process it on its last byte, so that byte is not
    // forwarded for a client that has disconnected.
    const bool ends_forwarded_body = body != nullptr && state_ == State::waiting && parser_.is_complete();
    if (ends_forwarded_body && has_client_left()) {
        close();
        return false;
    }
    if (ends_forwarded_body && may_have_left_unseen()) {
        net::log(net::LogLevel::info, "request.client_unseen",
                 {{"request", std::string((*head_)["Request-Id"])}, {"unread", count_unread()}});
        reject(http::status::service_unavailable);
        return false;
    }
    if (step.body_bytes > 0) body->commit(step.body_bytes);
    return handle_step(step);
}

bool Connection::handle_step(const RequestParser::Step& step) {
    using Result = RequestParser::Result;
    if (step.result == Result::needs_more && !parser_.is_buffer_full()) return receive();
    if (step.result != Result::progressed) {
        const bool is_too_large = step.result == Result::body_too_large;
        reject(is_too_large ? http::status::payload_too_large : http::status::bad_request);
        return false;
    }
    if (step.completes_head) return handle_head();
    if (!is_receiving_body()) return true;
    if (parser_.is_complete()) {
        complete_body();
        return false;
    }
    if (state_ == State::reading_body && body_->is_full()) deliver();
    return true;
}

void Connection::start_request() {
    state_ = State::reading_head;
    active_at_ = SteadyClock::now();
    parser_.start_request();
    set_time_limit(timeouts_.start_head(SteadyClock::now()));
}

bool Connection::handle_head() {
    keep_alive_ = parser_.keep_alive();
    http_version_ = parser_.http_version();
    if (const auto error = parser_.head_error()) {
        reject(*error);
        return false;
    }
    if (!take_head()) return false;
    if (parser_.is_complete() && head_->target() == "/_health") {
        respond_to_health_check();
        return false;
    }
    if (!read_incoming_request(*head_)) {
        reject(http::status::bad_request);
        return false;
    }
    if (parser_.is_complete()) {
        deliver();
        return false;
    }
    return start_body();
}

// Takes the complete head from the parser. Rejects the request and returns false if there is no memory for
// it.
bool Connection::take_head() {
    struct Head {
        Head(RequestHead taken, std::shared_ptr<net::BufferBudget> budget)
            : message(std::move(taken)), memory(std::move(budget)) {}
        RequestHead message;
        net::HeadMemory memory;
    };
    const auto head = std::make_shared<Head>(parser_.take_head(), owner_->body_budget());
    unparsed_head_.resize(0);
    if (!head->memory.resize(kHeadCopies * net::memory_of_fields(head->message))) {
        reject_for_memory();
        return false;
    }
    head_ = std::shared_ptr<const RequestHead>(head, &head->message);
    return true;
}

// Starts to receive a body. Returns whether to continue reading at once.
bool Connection::start_body() {
    state_ = State::reading_body;
    paused_since_.reset();
    is_reading_paused_ = false;
    body_ = std::make_shared<net::BodyBuffer>(owner_->body_budget(), parser_.content_length());
    body_->on_writable = [weak = weak_from_this(), this] {
        if (const auto connection = weak.lock()) on_body_space();
    };
    timeouts_.start_body(parser_.buffered());
    body_arrival_.start(parser_.buffered(), parser_.content_length());
    limit_body_time();
    if (parser_.buffered() > 0 || !expects_continue()) return true;
    writer_.write_out(net::make_write_step(asio::const_buffer(kContinue.data(), kContinue.size())),
                      [this](bool complete) {
                          if (complete)
                              read();
                          else
                              close();
                      });
    return false;
}

bool Connection::expects_continue() const {
    return http_version_ == kHttp11 && boost::beast::iequals((*head_)[http::field::expect], "100-continue");
}

void Connection::on_body_space() {
    if (!is_receiving_body()) return;
    paused_since_.reset();
    timeouts_.resume_body(SteadyClock::now());
    limit_body_time();
    // Only one read may be scheduled at a time: each of them could schedule several others.
    if (std::exchange(is_reading_paused_, false)) read_later();
}

// Pauses reading while the body buffer is full; on_body_space() resumes it. The sidecar causes this delay, so
// the time limit for the client's sending does not apply. If the last byte has not arrived yet, the unread
// time counts from now at the earliest.
void Connection::wait_for_body_space() {
    is_reading_paused_ = true;
    const std::size_t unread_in_socket = count_unread_in_socket();
    const std::uint64_t here = body_->bytes_written() + parser_.buffered() + unread_in_socket;
    if (!body_->length || here < *body_->length) unread_ages_.note_all_read();
    note_unread();
    log_pause();
    if (state_ == State::waiting)
        limit_pause(unread_in_socket);
    else
        lift_time_limit();
}

// Limits the pause to the client's time-out. It counts from the start of the pause, or from the time at which
// the client may have written its last byte if that was earlier. The unread bytes are counted at intervals,
// because a paused connection has no event for their arrival.
void Connection::limit_pause(std::size_t unread_in_socket) {
    const TimePoint now = SteadyClock::now();
    if (!paused_since_) paused_since_ = now;
    body_arrival_.note_unread(unread_in_socket, now);
    const TimePoint from = std::min(*paused_since_, body_arrival_.earliest_end().value_or(*paused_since_));
    const TimePoint deadline = from + net::to_duration(client_timeout_);
    const TimePoint next_count = now + net::to_duration(kUnreadCountInterval);
    set_time_limit(now < deadline ? std::min(deadline, next_count) : next_count);
    if (now >= deadline) owner_->callbacks().on_body_overdue(id_);
}

void Connection::log_pause() const {
    if (!net::is_logged(net::LogLevel::debug)) return;
    net::LogFields fields{{"request", std::string((*head_)["Request-Id"])},
                          {"read", body_->bytes_written()},
                          {"unread", count_unread()},
                          {"has_response", state_ == State::responding}};
    if (body_->length) fields["length"] = *body_->length;
    net::log(net::LogLevel::debug, "request.body_paused", std::move(fields));
}

void Connection::complete_body() {
    lift_time_limit();
    body_->mark_complete();
    if (!owner_) return;
    if (state_ == State::reading_body) return deliver();
    if (state_ != State::waiting) return;
    owner_->callbacks().on_body_complete(id_);
    if (!owner_ || state_ != State::waiting) return;
    note_next_request();
    if (parser_.buffered() == 0) wait_readable();
}

// Reports the request, either with its complete body or with as much of it as the buffer holds.
void Connection::deliver() {
    auto request = read_incoming_request(*head_);
    timeouts_.note_first_request();
    client_timeout_ = request->time_left;
    if (!is_receiving_body()) {
        lift_time_limit();
        request->time_left = std::max(0.0, request->time_left - unread_time());
        note_next_request();
    }
    id_ = owner_->next_request_id();
    request->id = id_;
    request->message = head_;
    const bool is_empty = body_ && body_->is_complete() && body_->bytes_written() == 0;
    request->body = is_empty ? nullptr : body_;
    state_ = State::waiting;
    if (parser_.buffered() == 0) parser_.release_unused_memory();
    owner_->add_request(id_, self());
    if (!is_receiving_body() && parser_.buffered() == 0) wait_readable();
    owner_->callbacks().on_request(std::move(*request));
}

// ---- Unread bytes ----

void Connection::note_all_read() {
    unread_ages_.note_all_read();
    body_arrival_.note_all_read();
}

void Connection::note_unread() { unread_ages_.note_unread(SteadyClock::now()); }

// Starts to track the unread time of the next request: the current one is complete, so all remaining bytes
// belong to the next.
void Connection::note_next_request() {
    if (parser_.buffered() > 0)
        note_unread();
    else if (unread_ages_.has_unread() && has_read_all())
        unread_ages_.note_all_read();
}

std::size_t Connection::count_unread() const { return parser_.buffered() + count_unread_in_socket(); }

std::size_t Connection::count_unread_in_socket() const {
    error_code ignored;
    return socket_.available(ignored);
}

}  // namespace mothring::node::downstream
