#include "node/upstream_request_writer.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core/span.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "net/log.hpp"
#include "net/socket_errors.hpp"
#include "node/upstream_connection.hpp"
#include "node/upstream_exchange.hpp"

namespace mothring::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

void UpstreamRequestWriter::start() {
    has_started_ = true;
    const UpstreamRequest& request = exchange_.request();
    if (net::is_logged(spdlog::level::debug)) {
        net::log(spdlog::level::debug, "attempt.written",
                 {{"request", std::string(request.message["Request-Id"])}});
    }
    if (!request.body || request.body->is_complete())
        write_complete();
    else
        write_head();
}

/// Writes the head and the body of a request that has arrived completely.
void UpstreamRequestWriter::write_complete() {
    UpstreamRequest& request = exchange_.request();
    const auto body = request.body ? request.body->unread() : std::string_view();
    request.message.body() = boost::beast::span<const char>(body.data(), body.size());
    request.message.prepare_payload();
    is_last_part_submitted_ = true;
    write(net::make_write_step(request.message, net::MessagePart::header_and_body), 0);
}

/// Writes the head of a request whose body is incomplete.
void UpstreamRequestWriter::write_head() {
    UpstreamRequest& request = exchange_.request();
    if (request.body->length)
        request.message.content_length(*request.body->length);
    else
        request.message.chunked(true);
    request.body->on_readable = [weak = exchange_.weak_from_this()] {
        if (const auto exchange = weak.lock()) exchange->writer().write_body();
    };
    write(net::make_write_step(request.message, net::MessagePart::header), 0);
}

/// Writes the available bytes of the body. The last chunk and the end of a chunked body are written together.
void UpstreamRequestWriter::write_body() {
    if (!exchange_.is_in_progress() || is_writing_ || is_written_ || is_last_part_submitted_) return;
    net::BodyBuffer& body = *exchange_.request().body;
    const auto bytes = body.unread();
    // If the length is known, the last byte can arrive before the body is marked as complete.
    is_last_part_submitted_ = body.is_complete() || body.length == body.bytes_written();
    if (bytes.empty() && !is_last_part_submitted_) return;
    write_body_part(asio::const_buffer(bytes.data(), bytes.size()));
}

void UpstreamRequestWriter::write_body_part(asio::const_buffer part) {
    const std::size_t size = part.size();
    if (exchange_.request().body->length) {
        write(net::make_write_step(part), size);
    } else if (size == 0) {
        write(net::make_write_step(http::make_chunk_last()), 0);
    } else if (!is_last_part_submitted_) {
        write(net::make_write_step(http::make_chunk(part)), size);
    } else {
        const auto chunks = boost::beast::buffers_cat(http::make_chunk(part), http::make_chunk_last());
        write(net::make_write_step(chunks), size);
    }
}

/// Writes the step as far as the socket accepts it, and continues when the socket is writable again.
/// @param body_bytes  number of bytes of the body in this step, consumed once the step is complete.
void UpstreamRequestWriter::write(net::WriteStep step, std::size_t body_bytes) {
    is_writing_ = true;
    error_code failed;
    if (net::write_until_blocked(step, exchange_.connection().socket(), failed)) {
        on_written(body_bytes);
    } else if (net::is_transient(failed)) {
        write_when_writable(std::move(step), body_bytes);
    } else {
        // The outcome is posted because UpstreamPool::start() must return before the outcome is reported.
        asio::post(exchange_.connection().socket().get_executor(), [exchange = exchange_.shared_from_this()] {
            if (!exchange->is_ended()) exchange->fail(false);
        });
    }
}

void UpstreamRequestWriter::write_when_writable(net::WriteStep step, std::size_t body_bytes) {
    auto resume = [this, exchange = exchange_.shared_from_this(), step = std::move(step),
                   body_bytes](error_code) mutable {
        if (exchange->is_ended()) return;
        const auto& may_continue = exchange->request().may_continue;
        if (!may_continue || may_continue()) write(std::move(step), body_bytes);
    };
    exchange_.connection().socket().async_wait(net::Tcp::socket::wait_write, std::move(resume));
}

void UpstreamRequestWriter::on_written(std::size_t body_bytes) {
    is_writing_ = false;
    is_written_ = is_last_part_submitted_;
    const UpstreamRequest& request = exchange_.request();
    if (is_written_ && request.is_attempt) exchange_.connection().count_attempt();
    if (body_bytes > 0) request.body->consume(body_bytes);
    if (!is_written_ && request.body) write_body();
}

}  // namespace mothring::node
