/// @file
/// Reads the response of an exchange from the server.
#pragma once

#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <optional>

#include "net/body_buffer.hpp"

namespace mothring::node {

class UpstreamExchange;

/// Reads as far as there is room for the body. A response is buffered until it is complete, so that the
/// request can be retried; a 200 that is too long, or takes too long, is streamed instead.
class UpstreamResponseReader {
public:
    /// @param exchange  owns this reader.
    explicit UpstreamResponseReader(UpstreamExchange& exchange) : exchange_(exchange) {}

    /// Reads and parses as long as there is something to read and room for it.
    void read();

    /// The connection's timer, set by this reader, has run out.
    void on_timeout();

    /// Drops the state of the response.
    /// @return the body of a streamed response, which is still to be finished or failed; null: none.
    std::shared_ptr<net::BodyBuffer> release();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    bool receive();
    bool parse();
    bool parse_received(boost::system::error_code& error);
    bool on_header();
    bool is_too_long_to_buffer();
    void on_body_full();
    void start_stream();
    void on_body_room();
    void on_read_failed(boost::system::error_code error);
    void on_broken(boost::system::error_code why);
    void end_with_response();

    UpstreamExchange& exchange_;
    std::optional<Parser> parser_;
    std::shared_ptr<net::BodyBuffer> body_;
    bool is_streaming_ = false;
};

}  // namespace mothring::node
