/// @file
/// Reads the response of an exchange from the server.
#pragma once

#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <optional>

#include "net/body_buffer.hpp"
#include "net/head_memory.hpp"

namespace mothring::node {

class UpstreamExchange;

/// Reads and parses a response. The response is buffered until it is complete, so that the request can still
/// be retried. A 200 response that is too long or too slow for the buffer is streamed to the client instead;
/// reading pauses while the buffer of the body is full.
class UpstreamResponseReader {
public:
    /// @param exchange  owns this reader.
    explicit UpstreamResponseReader(UpstreamExchange& exchange) : exchange_(exchange) {}

    /// Reads and parses until the socket has no more bytes, the buffer is full, or the exchange ends.
    void read();

    /// Handles the expiry of the connection's timer.
    void on_timeout();

    /// Discards the state of the response.
    /// The caller must mark the returned body as complete or truncated.
    /// @return the body of a streamed response;
    ///         null if no response is being streamed.
    std::shared_ptr<net::BodyBuffer> release_body();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    bool receive();
    bool parse();
    bool parse_received(boost::system::error_code& error);
    bool on_header();
    bool reserve_head();
    std::size_t read_size();
    bool is_too_long_to_buffer();
    void on_body_full();
    void start_stream();
    void on_body_writable();
    void on_read_failed(boost::system::error_code error);
    void on_invalid_response(boost::system::error_code why);
    void log_truncated(boost::system::error_code why) const;
    void end_with_response();

    UpstreamExchange& exchange_;
    std::optional<Parser> parser_;
    std::shared_ptr<net::BodyBuffer> body_;
    std::optional<net::HeadMemory> head_memory_;
    bool is_streaming_ = false;
    bool is_reading_paused_ = false;  // until the body has buffer space
};

}  // namespace mothring::node
