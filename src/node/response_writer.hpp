/// @file
/// Writing of responses to a connection.
#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "net/body_buffer.hpp"
#include "net/message_writer.hpp"
#include "node/guarded_connection.hpp"
#include "node/incoming_request.hpp"

namespace mothring::node::downstream {

/// How the end of a response's body is marked for the client.
enum class BodyFraming {
    content_length,
    chunked,
    until_close,  // a body that is cut off resets the connection, so that the client can detect it
};

/// Returns the framing for a body in response to a request of the given version.
/// @param http_version  in Beast's encoding.
BodyFraming framing_of(const net::BodyBuffer& body, unsigned http_version);

/// Writes one response at a time, either a complete one or one whose body is forwarded as it arrives.
class ResponseWriter {
public:
    struct Callbacks {
        /// Writing of a part of a streamed response has started.
        std::function<void()> on_progress;
        /// All bytes received of a streamed body are written, and the body is incomplete.
        std::function<void()> on_waiting;
        /// The last byte is written, or writing a complete response has failed.
        std::function<void(bool complete, bool keep_alive)> on_ended;
    };

    /// @param connection  owner of the socket and of this writer.
    ResponseWriter(GuardedConnection& connection, net::Tcp::socket& socket, Callbacks callbacks)
        : connection_(connection), socket_(socket), callbacks_(std::move(callbacks)) {}

    /// Writes a complete response.
    void write(Response response, bool keep_alive);

    /// Writes the head, then the body as it arrives. A truncated body closes the connection.
    void stream(ResponseHead head, std::shared_ptr<net::BodyBuffer> body, BodyFraming framing,
                bool keep_alive);
    bool is_streaming() const { return body_ != nullptr; }
    /// Stops writing a streamed response.
    void stop_streaming();

    /// Writes bytes, then calls `on_written` in a later turn of the event loop with whether all were written.
    void write_out(net::WriteStep step, std::function<void(bool)> on_written);

private:
    /// Progress of a streamed response.
    enum class State { waiting, writing, writing_last_chunk, last_chunk_written };

    bool is_writing() const { return state_ == State::writing || state_ == State::writing_last_chunk; }
    void write_more();
    void write_body(std::string_view bytes);
    void write_last_chunk();
    void end_stream();
    void finish_write(bool complete, std::size_t body_bytes);
    void reset_on_close(bool reset);

    GuardedConnection& connection_;
    net::Tcp::socket& socket_;
    Callbacks callbacks_;
    std::shared_ptr<net::BodyBuffer> body_;  // null unless a response is being streamed
    BodyFraming framing_ = BodyFraming::content_length;
    State state_ = State::waiting;
    bool keep_alive_ = true;
};

}  // namespace mothring::node::downstream
