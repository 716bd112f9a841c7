/// @file
/// A request to a server and its response.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "mothring/events.hpp"
#include "net/body_buffer.hpp"
#include "node/upstream_request_writer.hpp"
#include "node/upstream_response_reader.hpp"

namespace mothring::node {

class UpstreamConnection;

/// Identifies an exchange within its pool; never used twice.
using ExchangeId = std::uint64_t;

using UpstreamRequestHead = boost::beast::http::request<boost::beast::http::span_body<const char>>;
using UpstreamResponse = boost::beast::http::response<boost::beast::http::string_body>;
using UpstreamResponseHead = boost::beast::http::response<boost::beast::http::empty_body>;

/// A request to be sent to a server.
struct UpstreamRequest {
    /// The request without its body.
    UpstreamRequestHead message;
    /// The body, of which no byte has been read yet and which may still be incomplete. Null if the request
    /// has no body.
    std::shared_ptr<net::BodyBuffer> body;
    /// True for an attempt at a client's request, false for a health check.
    bool is_attempt = true;
    /// Called before the first byte is sent on a new connection, not on a reused one. It may set header
    /// fields and returns whether the request may be sent. If null, the request is sent unchanged.
    std::function<bool(UpstreamRequestHead&)> may_begin = nullptr;
    /// Called before sending resumes after the socket was not writable. Returns whether sending may continue;
    /// if it returns false, the caller must cancel the exchange. If null, sending always continues.
    std::function<bool()> may_continue = nullptr;
};

/// Called once when an exchange ends, never from within UpstreamPool::start(). The response holds the
/// complete response if the outcome is Outcome::completed and the response was not streamed.
using OnExchangeEnded = std::function<void(Outcome, UpstreamResponse)>;

/// Called with the head and the body of a 200 response that is streamed. The body is marked as complete or
/// truncated when the exchange ends. Without this callback a response that is too long to be buffered fails
/// the exchange.
using OnUpstreamResponseStarted = std::function<void(UpstreamResponseHead, std::shared_ptr<net::BodyBuffer>)>;

/// What happens to the connection when its exchange ends.
enum class ConnectionUse {
    reused,  ///< The connection stays open and becomes idle.
    closed   ///< The connection is closed.
};

/// Holds the state of an exchange and keeps its connection alive.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
public:
    /// Callbacks to the caller of UpstreamPool::start().
    struct Callbacks {
        OnExchangeEnded on_ended;
        /// May be null.
        OnUpstreamResponseStarted on_response_started;
    };

    UpstreamExchange(std::shared_ptr<UpstreamConnection> connection, ExchangeId id, UpstreamRequest request,
                     Callbacks callbacks);

    ExchangeId id() const { return id_; }
    UpstreamRequest& request() { return request_; }
    const Callbacks& callbacks() const { return callbacks_; }
    UpstreamConnection& connection() { return *connection_; }
    UpstreamRequestWriter& writer() { return writer_; }
    const UpstreamRequestWriter& writer() const { return writer_; }
    UpstreamResponseReader& reader() { return reader_; }

    /// Returns whether the exchange has ended or has been cancelled.
    bool is_ended() const { return is_ended_; }
    /// Returns whether the exchange has not ended and its connection is open.
    bool is_in_progress() const;

    /// Ends the exchange without a response.
    /// @param may_have_run  whether the server may have received the complete request.
    void fail(bool may_have_run);
    /// Ends the exchange with an outcome.
    void end(ConnectionUse use, Outcome outcome, UpstreamResponse response);

    /// Marks the exchange as ended and removes its callbacks from the bodies of the request and the response.
    /// The caller must mark the returned body as complete or truncated.
    /// @return the body of a streamed response;
    ///         null if no response is being streamed.
    std::shared_ptr<net::BodyBuffer> detach_bodies();

private:
    std::shared_ptr<UpstreamConnection> connection_;
    ExchangeId id_;
    UpstreamRequest request_;
    Callbacks callbacks_;
    UpstreamRequestWriter writer_;
    UpstreamResponseReader reader_;
    bool is_ended_ = false;
};

}  // namespace mothring::node
