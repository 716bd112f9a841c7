#include "node/upstream_response_reader.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "net/http_message.hpp"
#include "net/log.hpp"
#include "net/socket_errors.hpp"
#include "node/upstream_connection.hpp"
#include "node/upstream_exchange.hpp"

namespace mothring::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Largest number of bytes per read during the body.
constexpr std::size_t kBodyReadSize = 16 * 1024;
/// The head itself and the one that is forwarded.
constexpr std::size_t kHeadCopies = 2;
/// Largest number of reads and parser calls in a row before other connections are served.
constexpr int kMaxStepsPerTurn = 8;

/// Returns the log for malformed responses, limited to one line per second because a faulty server can send
/// many of them.
net::RateLimitedLog& not_http_log() {
    static net::RateLimitedLog limit(std::chrono::seconds(1));
    return limit;
}

/// Returns the log for streamed responses that end early, limited to one line per second.
net::RateLimitedLog& truncated_log() {
    static net::RateLimitedLog limit(std::chrono::seconds(1));
    return limit;
}

/// Returns the outcome for the status of a response. A 503 or 504 with "Not-Started: 1" proves that the
/// request never ran; a request that ended with another error may have run. A 4xx means that the request
/// itself is invalid, except for 408 and 429, which ask for a retry.
template <class Message>
Outcome outcome_of(const Message& response) {
    const http::status status = response.result();
    if (status == http::status::ok) return Outcome::completed;
    const bool is_client_error =
        http::to_status_class(response.result_int()) == http::status_class::client_error;
    const bool asks_for_retry =
        status == http::status::request_timeout || status == http::status::too_many_requests;
    if (is_client_error && !asks_for_retry) return Outcome::invalid_request;
    const bool is_overload =
        status == http::status::service_unavailable || status == http::status::gateway_timeout;
    const bool is_proven_not_started = is_overload && response["Not-Started"] == "1";
    return is_proven_not_started ? Outcome::overloaded : Outcome::failed;
}

}  // namespace

void UpstreamResponseReader::read() {
    const auto exchange = exchange_.shared_from_this();
    UpstreamConnection& connection = exchange->connection();
    int steps = 0;
    while (exchange->is_in_progress()) {
        if (body_ && body_->free_space() == 0) {
            is_reading_paused_ = true;
            return on_body_full();
        }
        if (connection.received().size() > 0) {
            if (!parse()) return;
        } else if (steps >= kMaxStepsPerTurn) {
            return asio::post(connection.socket().get_executor(), [exchange] { exchange->reader().read(); });
        } else if (!receive()) {
            return;
        }
        ++steps;
    }
}

void UpstreamResponseReader::on_timeout() {
    const auto exchange = exchange_.shared_from_this();
    if (is_streaming_)
        on_invalid_response(asio::error::timed_out);
    else if (body_)
        start_stream();
}

std::shared_ptr<net::BodyBuffer> UpstreamResponseReader::release_body() {
    const auto body = std::exchange(body_, nullptr);
    if (body) body->on_writable = nullptr;
    parser_.reset();
    head_memory_.reset();
    const bool was_streaming = std::exchange(is_streaming_, false);
    return was_streaming ? body : nullptr;
}

/// Receives bytes into the connection's buffer.
/// @return whether any bytes were received.
bool UpstreamResponseReader::receive() {
    UpstreamConnection& connection = exchange_.connection();
    auto& received = connection.received();
    error_code error;
    const std::size_t size = std::min(received.max_size() - received.size(), read_size());
    const std::size_t count = connection.socket().read_some(received.prepare(size), error);
    if (net::is_transient(error)) {
        connection.wait_readable();
        return false;
    }
    if (error) {
        on_read_failed(error);
        return false;
    }
    received.commit(count);
    if (is_streaming_) connection.set_timeout(connection.limits().stream_idle_timeout);
    return true;
}

/// Returns how many bytes to read at a time. A body is read only as far as there is buffer space for it,
/// about.
std::size_t UpstreamResponseReader::read_size() {
    if (!body_) return UpstreamConnection::kHeadReadSize;
    return std::clamp(body_->free_space(), UpstreamConnection::kHeadReadSize, kBodyReadSize);
}

/// Handles a failed read. The end of the connection ends a response that has neither a length nor chunks. A
/// 200 response is accepted in that case only if its header announces the close, because it could be
/// truncated.
void UpstreamResponseReader::on_read_failed(error_code error) {
    const bool may_end_response = error == asio::error::eof && parser_ && parser_->is_header_done() &&
                                  parser_->need_eof() && !parser_->is_done();
    if (!may_end_response) return on_invalid_response(error);
    const bool is_announced = http::token_list(parser_->get()[http::field::connection]).exists("close");
    if (parser_->get().result() == http::status::ok && !is_announced) return on_invalid_response(error);
    error_code ignored;
    parser_->put_eof(ignored);
    end_with_response();
}

/// Parses the received bytes.
/// @return whether reading continues; false if the parser needs more bytes or the exchange has ended.
bool UpstreamResponseReader::parse() {
    if (!parser_) {
        parser_.emplace();
        parser_->header_limit(net::kMaxHeaderBytes);
        parser_->body_limit(net::kMaxForwardedBodyBytes);
    }
    const bool had_header = parser_->is_header_done();
    error_code error;
    if (!parse_received(error)) return false;
    if (error == http::error::need_buffer) error = {};
    if (error == http::error::need_more) {
        const auto& received = exchange_.connection().received();
        if (received.size() < received.max_size()) return receive();
        error = http::error::header_limit;
    }
    if (error) {
        on_invalid_response(error);
        return false;
    }
    if (!had_header && parser_->is_header_done() && !on_header()) return false;
    const bool was_interim = !parser_;
    if (was_interim) return true;
    if (parser_->is_done()) {
        end_with_response();
        return false;
    }
    if (is_too_long_to_buffer()) on_body_full();
    return !exchange_.is_ended();
}

/// Passes the received bytes to the parser and adds the parsed bytes of the body to the buffer.
/// @return whether the exchange is still in progress.
bool UpstreamResponseReader::parse_received(error_code& error) {
    std::size_t free_space = 0;
    auto& part = parser_->get().body();
    if (body_) {
        free_space = body_->free_space();
        part.size = free_space;
        part.data = body_->write_pointer();
        part.more = true;
    }
    parser_->eager(parser_->is_header_done());
    auto& received = exchange_.connection().received();
    const std::size_t parsed = parser_->put(received.data(), error);
    received.consume(parsed);
    if (!body_ || part.size >= free_space) return true;
    body_->commit(free_space - part.size);
    return exchange_.is_in_progress();
}

/// Handles a complete header.
/// @return whether reading continues.
bool UpstreamResponseReader::on_header() {
    const auto status_class = http::to_status_class(parser_->get().result_int());
    if (status_class == http::status_class::informational) {  // The final response follows.
        parser_.reset();
        return true;
    }
    const auto length = parser_->content_length();
    if (length && *length > net::kMaxForwardedBodyBytes) {
        on_invalid_response(http::error::body_limit);
        return false;
    }
    if (!reserve_head()) {
        on_invalid_response(http::error::header_limit);
        return false;
    }
    if (parser_->is_done()) return true;
    UpstreamConnection& connection = exchange_.connection();
    const auto body_length = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    body_ = std::make_shared<net::BodyBuffer>(connection.budget(), body_length);
    // The body may have no end in the near future, so it is buffered for a limited time and then streamed.
    if (!length && exchange_.callbacks().on_response_started)
        connection.set_timeout(connection.limits().buffering_time);
    return true;
}

/// Returns whether there is memory for the head.
bool UpstreamResponseReader::reserve_head() {
    head_memory_.emplace(exchange_.connection().budget());
    return head_memory_->resize(kHeadCopies * net::memory_of_fields(parser_->get()));
}

bool UpstreamResponseReader::is_too_long_to_buffer() {
    if (!body_ || is_streaming_) return false;
    const bool is_longer_than_buffer =
        body_->length && *body_->length > net::BodyBuffer::kMaxCapacity && body_->bytes_written() > 0;
    return is_longer_than_buffer || body_->is_full();
}

/// Handles a body that does not fit into the buffer. A response that is already streamed pauses until its
/// reader has consumed bytes. A 200 response that was being buffered is streamed from now on, or fails if the
/// caller does not accept streamed responses.
void UpstreamResponseReader::on_body_full() {
    if (is_streaming_) return exchange_.connection().clear_timeout();
    if (parser_->get().result() != http::status::ok)
        return end_with_response();  // The outcome depends on the head only.
    if (!exchange_.callbacks().on_response_started) return on_invalid_response(http::error::body_limit);
    start_stream();
}

void UpstreamResponseReader::start_stream() {
    const auto& on_response_started = exchange_.callbacks().on_response_started;
    if (!on_response_started || parser_->get().result() != http::status::ok) return;
    UpstreamConnection& connection = exchange_.connection();
    if (body_->bytes_written() == 0) return connection.set_timeout(connection.limits().buffering_time);
    is_streaming_ = true;
    connection.set_timeout(connection.limits().stream_idle_timeout);
    body_->on_writable = [weak = exchange_.weak_from_this()] {
        if (const auto exchange = weak.lock()) exchange->reader().on_body_writable();
    };
    UpstreamResponseHead head(http::status::ok, net::kHttpVersion);
    net::copy_end_to_end_fields(head, parser_->get());
    on_response_started(std::move(head), body_);
}

/// Resumes reading after the reader of a streamed response has freed space in the buffer.
void UpstreamResponseReader::on_body_writable() {
    UpstreamConnection& connection = exchange_.connection();
    // Only one read may be scheduled at a time.
    if (!connection.is_open() || !std::exchange(is_reading_paused_, false)) return;
    asio::post(connection.socket().get_executor(), [this, exchange = exchange_.shared_from_this()] {
        UpstreamConnection& reopened = exchange->connection();
        if (!reopened.is_open() || reopened.is_waiting_readable() || !is_streaming_) return;
        reopened.set_timeout(reopened.limits().stream_idle_timeout);
        read();
    });
}

/// Handles a response that is malformed, truncated or too long, or that has timed out.
void UpstreamResponseReader::on_invalid_response(error_code why) {
    if (net::is_malformed(why))
        not_http_log().log(spdlog::level::warn, "upstream.not_http", {{"why", why.message()}});
    if (is_streaming_) log_truncated(why);
    // The outcome of an error response depends on its header only, also if its body is truncated.
    const bool has_header = parser_ && parser_->is_header_done();
    if (has_header && parser_->get().result() != http::status::ok) return end_with_response();
    exchange_.fail(exchange_.writer().is_written());
}

void UpstreamResponseReader::log_truncated(error_code why) const {
    truncated_log().log(spdlog::level::warn, "response.truncated",
                        {{"request", std::string(exchange_.request().message["Request-Id"])},
                         {"why", why.message()},
                         {"received", body_->bytes_written()}});
}

void UpstreamResponseReader::end_with_response() {
    const auto& message = parser_->get();
    const bool is_reusable = parser_->is_done() && parser_->keep_alive() && exchange_.writer().is_written() &&
                             exchange_.connection().received().size() == 0;
    UpstreamResponse response(message.result(), net::kHttpVersion);
    const Outcome outcome = outcome_of(message);
    if (!is_streaming_) {
        net::copy_end_to_end_fields(response, message);
        if (body_) response.body() = std::string(body_->unread());
    }
    exchange_.end(is_reusable ? ConnectionUse::reused : ConnectionUse::closed, outcome, std::move(response));
}

}  // namespace mothring::node
