/// @file
/// Size limits of HTTP messages, the same for clients and servers, and functions that read and copy messages.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace mothring::net {

/// HTTP/1.1 in Beast's numbering of versions.
constexpr unsigned kHttpVersion = 11;

/// The longest body that is forwarded, in bytes.
constexpr std::uint64_t kMaxForwardedBodyBytes = 32 * 1024 * 1024;
/// The longest head of a message, in bytes.
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

/// Returns whether a read failed because the bytes received are not an HTTP message within the limits. The
/// end of the connection is not such an error.
inline bool is_malformed(boost::system::error_code error) {
    using Http = boost::beast::http::error;
    return error.category() == make_error_code(Http::end_of_stream).category() &&
           error != Http::end_of_stream && error != Http::partial_message;
}

/// Reads one message within the limits and calls `handler(error)`. Checks the stated content length before
/// the body is read, because Beast 1.74 accepts a longer body that arrives together with its header, and
/// reserves memory for any stated length.
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

/// Returns whether a header field applies to one connection only and must not be forwarded.
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

/// Copies the header fields that are forwarded end to end.
template <class Target, class Source>
void copy_end_to_end_fields(Target& target, const Source& source) {
    for (const auto& header : source) {
        if (!is_hop_by_hop(header.name())) target.insert(header.name(), header.name_string(), header.value());
    }
}

}  // namespace mothring::net
