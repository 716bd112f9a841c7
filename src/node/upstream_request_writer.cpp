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

void UpstreamRequestWriter::begin() {
    has_begun_ = true;
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

/// Writes a request whose last byte has come.
void UpstreamRequestWriter::write_complete() {
    UpstreamRequest& request = exchange_.request();
    const auto body = request.body ? request.body->unread() : std::string_view();
    request.message.body() = boost::beast::span<const char>(body.data(), body.size());
    request.message.prepare_payload();
    last_part_is_out_ = true;
    write(net::make_write_step(request.message, net::MessagePart::header_and_body), 0);
}

/// Writes the head of a request whose body is yet to come, or part of it.
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

/// Writes what has come of the body; its last bytes go out together with what ends it.
void UpstreamRequestWriter::write_body() {
    if (!exchange_.is_under_way() || is_writing_ || is_written_ || last_part_is_out_) return;
    net::BodyBuffer& body = *exchange_.request().body;
    const auto bytes = body.unread();
    // With a stated length the last byte goes out before the end of the body is reported.
    last_part_is_out_ = body.is_complete() || body.length == body.bytes_written();
    if (bytes.empty() && !last_part_is_out_) return;
    write_body_part(asio::const_buffer(bytes.data(), bytes.size()));
}

void UpstreamRequestWriter::write_body_part(asio::const_buffer part) {
    const std::size_t size = part.size();
    if (exchange_.request().body->length) {
        write(net::make_write_step(part), size);
    } else if (size == 0) {
        write(net::make_write_step(http::make_chunk_last()), 0);
    } else if (!last_part_is_out_) {
        write(net::make_write_step(http::make_chunk(part)), size);
    } else {
        const auto chunks = boost::beast::buffers_cat(http::make_chunk(part), http::make_chunk_last());
        write(net::make_write_step(chunks), size);
    }
}

/// @param body_bytes  to be taken from the body once all of this has been written.
void UpstreamRequestWriter::write(net::WriteStep step, std::size_t body_bytes) {
    is_writing_ = true;
    error_code failed;
    if (net::write_until_blocked(step, exchange_.connection().socket(), failed)) {
        on_written(body_bytes);
    } else if (net::is_transient(failed)) {
        write_when_possible(std::move(step), body_bytes);
    } else {
        // UpstreamPool::start() must not report an outcome before it has returned.
        asio::post(exchange_.connection().socket().get_executor(), [exchange = exchange_.shared_from_this()] {
            if (!exchange->is_ended()) exchange->fail(false);
        });
    }
}

void UpstreamRequestWriter::write_when_possible(net::WriteStep step, std::size_t body_bytes) {
    auto resume = [this, exchange = exchange_.shared_from_this(), step = std::move(step),
                   body_bytes](error_code) mutable {
        if (exchange->is_ended()) return;
        const auto& still_wanted = exchange->request().still_wanted;
        if (!still_wanted || still_wanted()) write(std::move(step), body_bytes);
    };
    exchange_.connection().socket().async_wait(net::Tcp::socket::wait_write, std::move(resume));
}

void UpstreamRequestWriter::on_written(std::size_t body_bytes) {
    is_writing_ = false;
    is_written_ = last_part_is_out_;
    const UpstreamRequest& request = exchange_.request();
    if (is_written_ && request.is_attempt) exchange_.connection().count_attempt();
    if (body_bytes > 0) request.body->consume(body_bytes);
    if (!is_written_ && request.body) write_body();
}

}  // namespace mothring::node
