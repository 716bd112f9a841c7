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

/// A streamed response is given up when its server has been silent for the longest deadline.
constexpr Millis kSilenceTimeout = 3000;
/// Bytes received at a time once the body has begun.
constexpr std::size_t kBodyReadSize = 16 * 1024;
/// Reads, and pieces parsed, in a row before other connections have their turn.
constexpr int kStepsPerTurn = 8;

/// Limits the log of responses that are not HTTP, which a server sends in bulk, to a line a second.
net::RateLimitedLog& not_http_log() {
    static net::RateLimitedLog limit(std::chrono::seconds(1));
    return limit;
}

/// The outcome that a response states, by the protocol's table. An error without the proof may have run; a
/// 4xx is the request's own fault, except for those that ask for a retry.
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
    const bool has_never_run = is_overload && response["Not-Started"] == "1";
    return has_never_run ? Outcome::overloaded : Outcome::failed;
}

}  // namespace

void UpstreamResponseReader::read() {
    const auto exchange = exchange_.shared_from_this();
    UpstreamConnection& connection = exchange->connection();
    int steps = 0;
    while (exchange->is_under_way()) {
        if (body_ && body_->free_space() == 0) return on_body_full();
        if (connection.received().size() > 0) {
            if (!parse()) return;
        } else if (steps >= kStepsPerTurn) {
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
        on_broken(asio::error::timed_out);
    else if (body_)
        start_stream();
}

std::shared_ptr<net::BodyBuffer> UpstreamResponseReader::release() {
    const auto body = std::exchange(body_, nullptr);
    if (body) body->on_writable = nullptr;
    parser_.reset();
    const bool was_streaming = std::exchange(is_streaming_, false);
    return was_streaming ? body : nullptr;
}

/// @return whether anything was received.
bool UpstreamResponseReader::receive() {
    UpstreamConnection& connection = exchange_.connection();
    auto& received = connection.received();
    error_code error;
    const std::size_t size = std::min(received.max_size() - received.size(),
                                      body_ ? kBodyReadSize : UpstreamConnection::kHeadReadSize);
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
    if (is_streaming_) connection.expire_after(kSilenceTimeout);
    return true;
}

/// The end of the connection may be the end of the response, where its head has said so.
void UpstreamResponseReader::on_read_failed(error_code error) {
    const bool may_end_response = error == asio::error::eof && parser_ && parser_->is_header_done() &&
                                  parser_->need_eof() && !parser_->is_done();
    if (!may_end_response) return on_broken(error);
    const bool is_announced = http::token_list(parser_->get()[http::field::connection]).exists("close");
    if (parser_->get().result() == http::status::ok && !is_announced) return on_broken(error);
    error_code ignored;
    parser_->put_eof(ignored);
    end_with_response();
}

/// Parses what has been received.
/// @return whether reading goes on; else more has to be received first, or the exchange has ended.
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
        on_broken(error);
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

/// @return whether the exchange is still under way.
bool UpstreamResponseReader::parse_received(error_code& error) {
    std::size_t room = 0;
    auto& part = parser_->get().body();
    if (body_) {
        room = body_->free_space();
        part.size = room;
        part.data = body_->write_pointer();
        part.more = true;
    }
    parser_->eager(parser_->is_header_done());
    auto& received = exchange_.connection().received();
    const std::size_t parsed = parser_->put(received.data(), error);
    received.consume(parsed);
    if (!body_ || part.size >= room) return true;
    body_->commit(room - part.size);
    return exchange_.is_under_way();
}

/// @return whether reading goes on.
bool UpstreamResponseReader::on_header() {
    const auto status_class = http::to_status_class(parser_->get().result_int());
    if (status_class == http::status_class::informational) {  // the response itself is yet to come
        parser_.reset();
        return true;
    }
    const auto length = parser_->content_length();
    if (length && *length > net::kMaxForwardedBodyBytes) {
        on_broken(http::error::body_limit);
        return false;
    }
    if (parser_->is_done()) return true;
    UpstreamConnection& connection = exchange_.connection();
    const auto body_length = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    body_ = std::make_shared<net::BodyBuffer>(connection.budget(), body_length);
    // How much is yet to come is not known: after a while what there is gets streamed.
    if (!length && exchange_.callbacks().on_response_started)
        connection.expire_after(connection.limits().buffering_time);
    return true;
}

bool UpstreamResponseReader::is_too_long_to_buffer() {
    if (!body_ || is_streaming_) return false;
    const bool is_known_to_be =
        body_->length && *body_->length > net::BodyBuffer::kMaxCapacity && body_->bytes_written() > 0;
    return is_known_to_be || body_->is_full();
}

/// A streamed response waits for its reader; one that was to be buffered can't be.
void UpstreamResponseReader::on_body_full() {
    if (is_streaming_) return exchange_.connection().expire_never();
    if (parser_->get().result() != http::status::ok) return end_with_response();  // its head is enough
    if (!exchange_.callbacks().on_response_started) return on_broken(http::error::body_limit);
    start_stream();
}

void UpstreamResponseReader::start_stream() {
    const auto& on_response_started = exchange_.callbacks().on_response_started;
    if (!on_response_started || parser_->get().result() != http::status::ok) return;
    UpstreamConnection& connection = exchange_.connection();
    if (body_->bytes_written() == 0) return connection.expire_after(connection.limits().buffering_time);
    is_streaming_ = true;
    connection.expire_after(kSilenceTimeout);
    body_->on_writable = [weak = exchange_.weak_from_this()] {
        if (const auto exchange = weak.lock()) exchange->reader().on_body_room();
    };
    UpstreamResponseHead head(http::status::ok, net::kHttpVersion);
    net::copy_end_to_end_fields(head, parser_->get());
    on_response_started(std::move(head), body_);
}

/// The reader of a streamed response has made room for more of it.
void UpstreamResponseReader::on_body_room() {
    UpstreamConnection& connection = exchange_.connection();
    if (!connection.is_open() || connection.is_waiting_readable()) return;
    asio::post(connection.socket().get_executor(), [this, exchange = exchange_.shared_from_this()] {
        UpstreamConnection& reopened = exchange->connection();
        if (!reopened.is_open() || reopened.is_waiting_readable() || !is_streaming_) return;
        reopened.expire_after(kSilenceTimeout);
        read();
    });
}

/// The response can't be read to its end.
void UpstreamResponseReader::on_broken(error_code why) {
    if (net::is_malformed(why))
        not_http_log().log(spdlog::level::warn, "upstream.not_http", {{"why", why.message()}});
    // The proof that the request never ran stands in the header.
    const bool has_header = parser_ && parser_->is_header_done();
    if (has_header && parser_->get().result() != http::status::ok) return end_with_response();
    exchange_.fail(exchange_.writer().is_written());
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
