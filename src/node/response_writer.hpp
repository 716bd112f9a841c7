/// @file
/// Responses onto a connection.
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

/// How a client learns where the body of a response ends.
enum class BodyFraming {
    content_length,
    chunked,
    until_close,  // a connection that breaks within the body is reset, so that the client can tell
};

/// @param http_version  of the request, as Beast writes it.
BodyFraming framing_of(const net::BodyBuffer& body, unsigned http_version);

/// Writes one response at a time: a complete one, or one whose body is passed on as it comes.
class ResponseWriter {
public:
    struct Callbacks {
        /// The client takes bytes of a streamed response.
        std::function<void()> on_progress;
        /// All that has come of a streamed body is written; more of it is to come.
        std::function<void()> on_waiting;
        /// After the last byte, or where a complete response can't be written.
        std::function<void(bool complete, bool keep_alive)> on_ended;
    };

    /// @param connection  whose socket this is; it owns this writer.
    ResponseWriter(GuardedConnection& connection, net::Tcp::socket& socket, Callbacks callbacks)
        : connection_(connection), socket_(socket), callbacks_(std::move(callbacks)) {}

    void write(Response response, bool keep_alive);

    /// Writes the head, then the body as it comes. A body that breaks off closes the connection.
    void stream(ResponseHead head, std::shared_ptr<net::BodyBuffer> body, BodyFraming framing,
                bool keep_alive);
    bool is_streaming() const { return body_ != nullptr; }
    /// Writes no more of a streamed response.
    void stop_streaming();

    /// Writes bytes, then calls `on_written`, in a turn of its own, with whether all of them were written.
    void write_out(net::WriteStep step, std::function<void(bool)> on_written);

private:
    /// Of a streamed response.
    enum class State { waiting, writing, writing_last_chunk, last_chunk_written };

    bool is_writing() const { return state_ == State::writing || state_ == State::writing_last_chunk; }
    void write_more();
    void write_body(std::string_view bytes);
    void write_last_chunk();
    void end_stream();
    void written(bool complete, std::size_t body_bytes);
    void reset_on_close(bool reset);

    GuardedConnection& connection_;
    net::Tcp::socket& socket_;
    Callbacks callbacks_;
    std::shared_ptr<net::BodyBuffer> body_;  // null: no streamed response
    BodyFraming framing_ = BodyFraming::content_length;
    State state_ = State::waiting;
    bool keep_alive_ = true;
};

}  // namespace mothring::node::downstream
