/// @file
/// Parsing of requests from the bytes of a connection.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "net/body_buffer.hpp"
#include "net/http_message.hpp"
#include "node/incoming_request.hpp"

namespace mothring::node::downstream {

/// Buffers the bytes that have been read from a connection and parses them into requests, one at a time.
class RequestParser {
public:
    /// Bytes read at a time, for a head or to be discarded.
    static constexpr std::size_t kHeadReadSize = 2 * 1024;

    // ---- Buffer ----

    std::size_t buffered() const { return buffer_.size(); }
    bool is_buffer_full() const { return buffer_.size() >= buffer_.max_size(); }
    /// Returns buffer space of at most `max_bytes` for the next read; commit() then adds the bytes that were
    /// read.
    boost::asio::mutable_buffer prepare(std::size_t max_bytes);
    void commit(std::size_t bytes) { buffer_.commit(bytes); }
    void discard() { buffer_.consume(buffer_.size()); }
    void release_unused_memory() { buffer_.shrink_to_fit(); }

    // ---- Parsing ----

    enum class Result {
        progressed,
        needs_more,  // bytes than are buffered
        malformed,
        body_too_large,
    };
    struct Step {
        Result result = Result::progressed;
        std::size_t bytes = 0;       // consumed from the buffer
        std::size_t body_bytes = 0;  // written into the body buffer's free space, but not committed yet
        bool completes_head = false;
    };

    /// Skips empty lines before a request line.
    /// @return whether other bytes are buffered.
    bool skip_line_ends();
    void start_request();
    void end_request() { parser_.reset(); }
    /// Parses buffered bytes.
    /// @param body  receives the bytes of the body; null while the head is being read.
    Step parse(net::BodyBuffer* body);

    // ---- Request, valid once its head is complete ----

    bool is_complete() const { return parser_->is_done(); }
    bool is_get() const { return parser_->get().method() == boost::beast::http::verb::get; }
    bool keep_alive() const { return parser_->keep_alive(); }
    unsigned http_version() const { return parser_->get().version(); }
    /// Returns the length of the complete body; nullopt if the head does not state it.
    std::optional<std::uint64_t> content_length() const;
    /// Returns the status that rejects a request that cannot be served for its framing, version or size;
    /// nullopt if the head is acceptable.
    std::optional<boost::beast::http::status> head_error() const;
    /// Moves the head out of the parser, with its target in origin form. Only the other functions of this
    /// section except head_error() may be called afterwards.
    RequestHead take_head();

private:
    bool has_valid_framing() const;

    boost::beast::flat_buffer buffer_{net::kMaxHeaderBytes + kHeadReadSize};
    std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
};

}  // namespace mothring::node::downstream
