#include "node/response_writer.hpp"

#include <boost/asio/post.hpp>
#include <utility>

#include "net/socket_errors.hpp"

namespace mothring::node::downstream {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

BodyFraming framing_of(const net::BodyBuffer& body, unsigned http_version) {
    if (body.length) return BodyFraming::content_length;
    return http_version < kHttp11 ? BodyFraming::until_close : BodyFraming::chunked;
}

void ResponseWriter::write(Response response, bool keep_alive) {
    response.version(kHttp11);
    response.keep_alive(keep_alive);
    response.prepare_payload();
    const auto message = std::make_shared<Response>(std::move(response));
    write_out(net::make_write_step(*message, net::MessagePart::header_and_body),
              [this, message](bool complete) { callbacks_.on_ended(complete, message->keep_alive()); });
}

void ResponseWriter::stream(ResponseHead head, std::shared_ptr<net::BodyBuffer> body, BodyFraming framing,
                            bool keep_alive) {
    body_ = std::move(body);
    framing_ = framing;
    head.version(kHttp11);
    // chunked() is called only for its own framing, because it would remove a content length.
    if (framing_ == BodyFraming::content_length) head.content_length(*body_->length);
    if (framing_ == BodyFraming::chunked) head.chunked(true);
    head.keep_alive(keep_alive);
    keep_alive_ = head.keep_alive();
    if (framing_ == BodyFraming::until_close) reset_on_close(true);
    // Also limits what the kernel buffers, so that the progress of a slow client is observable.
    error_code ignored;
    socket_.set_option(asio::socket_base::send_buffer_size(static_cast<int>(net::BodyBuffer::kMaxCapacity)),
                       ignored);
    const auto message = std::make_shared<ResponseHead>(std::move(head));
    state_ = State::writing;
    callbacks_.on_progress();
    write_out(net::make_write_step(*message, net::MessagePart::header),
              [this, message](bool complete) { finish_write(complete, 0); });
    body_->on_readable = [this, weak = connection_.weak_from_this()] {
        if (const auto connection = weak.lock()) connection->guarded([this] { write_more(); });
    };
}

void ResponseWriter::stop_streaming() {
    const auto body = std::exchange(body_, nullptr);
    if (body) body->on_readable = nullptr;
}

void ResponseWriter::write_out(net::WriteStep step, std::function<void(bool)> on_written) {
    error_code failed;
    const bool complete = net::write_until_blocked(step, socket_, failed);
    if (complete || !net::is_transient(failed)) {
        asio::post(socket_.get_executor(), connection_.if_open([on_written = std::move(on_written),
                                                                complete] { on_written(complete); }));
        return;
    }
    auto resume =
        connection_.if_open([this, step = std::move(step), on_written = std::move(on_written)]() mutable {
            write_out(std::move(step), std::move(on_written));
        });
    socket_.async_wait(net::Tcp::socket::wait_write,
                       [resume = std::move(resume)](error_code) mutable { resume(); });
}

void ResponseWriter::write_more() {
    if (!connection_.is_open() || is_writing() || !body_) return;
    const std::string_view bytes = body_->unread();
    if (!bytes.empty()) return write_body(bytes);
    // The client detects the truncation: the body is shorter than its length, its last chunk is missing, or
    // the connection is reset.
    if (body_->is_truncated()) return connection_.close();
    if (!body_->is_complete()) return callbacks_.on_waiting();
    if (framing_ == BodyFraming::chunked && state_ != State::last_chunk_written) return write_last_chunk();
    end_stream();
}

void ResponseWriter::write_body(std::string_view bytes) {
    state_ = State::writing;
    callbacks_.on_progress();
    const auto on_written = [this, count = bytes.size()](bool complete) { finish_write(complete, count); };
    const asio::const_buffer out(bytes.data(), bytes.size());
    if (framing_ == BodyFraming::chunked)
        write_out(net::make_write_step(http::make_chunk(out)), on_written);
    else
        write_out(net::make_write_step(out), on_written);
}

void ResponseWriter::write_last_chunk() {
    state_ = State::writing_last_chunk;
    write_out(net::make_write_step(http::make_chunk_last()),
              [this](bool complete) { finish_write(complete, 0); });
}

void ResponseWriter::end_stream() {
    state_ = State::waiting;
    if (framing_ == BodyFraming::until_close) reset_on_close(false);
    callbacks_.on_ended(true, keep_alive_);
}

void ResponseWriter::finish_write(bool complete, std::size_t body_bytes) {
    state_ = state_ == State::writing_last_chunk ? State::last_chunk_written : State::waiting;
    if (!complete) return connection_.close();
    const auto body = body_;
    if (body_bytes > 0) body->consume(body_bytes);
    write_more();
}

// Sets whether closing the socket resets the connection. If the end of the connection marks the end of the
// response, the client must not mistake a crash of this process in mid-response for it.
void ResponseWriter::reset_on_close(bool reset) {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(reset, 0), ignored);
}

}  // namespace mothring::node::downstream
