/// @file
/// Requests from the bytes of a connection.
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

/// Holds the bytes that have been read and not parsed, and parses them into one request after the other.
class RequestParser {
public:
    /// Bytes read at a time, of a head or of what is discarded.
    static constexpr std::size_t kHeadPiece = 2 * 1024;

    // ---- The bytes read ----

    std::size_t buffered() const { return buffer_.size(); }
    bool is_buffer_full() const { return buffer_.size() >= buffer_.max_size(); }
    /// Space for what is read next; commit() tells how much of it was filled.
    boost::asio::mutable_buffer prepare(std::size_t most);
    void commit(std::size_t bytes) { buffer_.commit(bytes); }
    void discard() { buffer_.consume(buffer_.size()); }
    void release_unused_memory() { buffer_.shrink_to_fit(); }

    // ---- Parsing ----

    enum class Result {
        progressed,
        needs_more,  // than is here
        malformed,
        body_too_large,
    };
    struct Step {
        Result result = Result::progressed;
        std::size_t bytes = 0;       // parsed
        std::size_t body_bytes = 0;  // put into the body's space, and not added to it yet
        bool completes_head = false;
    };

    /// Drops empty lines before a request line.
    /// @return whether anything else is here.
    bool skip_line_ends();
    void start_request();
    void end_request() { parser_.reset(); }
    /// Parses what is here.
    /// @param body  whose space takes the body; null while there is none yet.
    Step parse(net::BodyBuffer* body);

    // ---- The request, once its head is complete ----

    bool is_complete() const { return parser_->is_done(); }
    bool is_get() const { return parser_->get().method() == boost::beast::http::verb::get; }
    bool keep_alive() const { return parser_->keep_alive(); }
    unsigned http_version() const { return parser_->get().version(); }
    /// Of the whole body; none: not known.
    std::optional<std::uint64_t> content_length() const;
    /// How a head is rejected that can't be served whatever it asks for; none: it is not.
    std::optional<boost::beast::http::status> head_error() const;
    /// The head, its target in the origin form.
    std::shared_ptr<const RequestHead> copy_head() const;

private:
    bool is_framed() const;

    boost::beast::flat_buffer buffer_{net::kMaxHeaderBytes + kHeadPiece};
    std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
};

}  // namespace mothring::node::downstream
