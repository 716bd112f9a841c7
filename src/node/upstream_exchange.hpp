/// @file
/// One request to a server and its response, from the first byte to the outcome.
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

/// What is sent to a server.
struct UpstreamRequest {
    /// The request without its body.
    UpstreamRequestHead message;
    /// The body, unread from its start; the rest of it may be yet to come. Null: there is none.
    std::shared_ptr<net::BodyBuffer> body;
    /// An attempt at a client's request, not a health check.
    bool is_attempt = true;
    /// Called once the connection is established, before the first byte is sent; completes the head by what
    /// is known only then. False: the request is not sent after all. Null: it is sent as it stands.
    std::function<bool(UpstreamRequestHead&)> may_begin = nullptr;
    /// Called before more is sent after the server had stopped reading for a while. False: nothing more is
    /// sent, and the caller cancels the exchange. Null: all of it is sent.
    std::function<bool()> still_wanted = nullptr;
};

/// Called once, never from within UpstreamPool::start(). The response is complete where the outcome is
/// Outcome::completed and it was not streamed.
using OnExchangeEnded = std::function<void(Outcome, UpstreamResponse)>;

/// Called with the head and the body of a 200 that is streamed; the body ends as the exchange does. Without
/// this callback a response that is too long to be buffered counts as none.
using OnUpstreamResponseStarted = std::function<void(UpstreamResponseHead, std::shared_ptr<net::BodyBuffer>)>;

/// What becomes of the connection at the end of its exchange.
enum class ConnectionUse {
    reused,  ///< It is idle until the next exchange.
    closed   ///< It can't be used any more.
};

/// Holds the state of one exchange, and keeps its connection alive.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
public:
    /// What the exchange is told about.
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

    /// Whether the exchange has its outcome, or has been cancelled.
    bool is_ended() const { return is_ended_; }
    /// Whether it has not ended, and its connection is open.
    bool is_under_way() const;

    /// Ends the exchange without a response.
    /// @param may_have_run  the server may have received the complete request.
    void fail(bool may_have_run);
    /// Ends the exchange.
    void end(ConnectionUse use, Outcome outcome, UpstreamResponse response);

    /// Detaches the exchange from the bodies that it shares with others; from now on it is ended.
    /// @return the body of a streamed response, which is still to be finished or failed; null: none.
    std::shared_ptr<net::BodyBuffer> release();

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
