/// @file
/// The limits of HTTP messages, the same for clients and servers, and how messages are read and copied.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace mothring::net {

/// HTTP/1.1, as Beast numbers versions.
constexpr unsigned kHttpVersion = 11;

/// The longest body that is buffered completely, in bytes.
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
/// The longest body that is forwarded, in bytes.
constexpr std::uint64_t kMaxForwardedBodyBytes = 32 * 1024 * 1024;
/// The longest head of a message, in bytes.
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

/// Whether reading ended on bytes that are no message within the limits, and not with the connection.
inline bool is_malformed(boost::system::error_code error) {
    using Http = boost::beast::http::error;
    return error.category() == make_error_code(Http::end_of_stream).category() &&
           error != Http::end_of_stream && error != Http::partial_message;
}

/// Reads one message within the limits, and calls `handler(error)`. The length that a header states is
/// checked before the body is read: Beast 1.74 accepts a longer body that comes along with its header, and
/// reserves the memory for any length stated.
template <class Socket, class Buffer, class Parser, class Handler>
void async_read_bounded(Socket& socket, Buffer& buffer, Parser& parser, std::size_t body_limit,
                        Handler handler) {
    namespace http = boost::beast::http;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(body_limit);
    http::async_read_header(
        socket, buffer, parser,
        [&, body_limit, handler = std::move(handler)](boost::system::error_code failed, std::size_t) mutable {
            if (!failed && parser.content_length() && *parser.content_length() > body_limit)
                failed = http::error::body_limit;
            if (failed) return handler(failed);
            http::async_read(socket, buffer, parser,
                             [handler = std::move(handler)](boost::system::error_code ended,
                                                            std::size_t) mutable { handler(ended); });
        });
}

/// Whether a header field belongs to a connection, and not to the message that came on it.
inline bool is_hop_by_hop(boost::beast::http::field name) {
    using boost::beast::http::field;
    switch (name) {
        case field::connection:
        case field::content_length:
        case field::expect:
        case field::host:
        case field::keep_alive:
        case field::proxy_authenticate:
        case field::proxy_authorization:
        case field::proxy_connection:
        case field::te:
        case field::trailer:
        case field::transfer_encoding:
        case field::upgrade:
            return true;
        default:
            return false;
    }
}

/// Copies the header fields that belong to the message itself.
template <class Target, class Source>
void copy_end_to_end_fields(Target& target, const Source& source) {
    for (const auto& header : source) {
        if (!is_hop_by_hop(header.name())) target.insert(header.name(), header.name_string(), header.value());
    }
}

}  // namespace mothring::net
