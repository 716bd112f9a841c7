/// @file
/// Writes HTTP messages in non-blocking steps. It is known at any time whether the last byte has been handed
/// to the kernel, and no handler is lost where memory is short. The composed writes of Asio and Beast report
/// the first only in their handler, a turn of the event loop later, and drop that handler where an allocation
/// within them fails.
#pragma once

#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>

#include "net/address.hpp"

namespace mothring::net {

/// One non-blocking write of as much as the kernel takes. Returns whether everything has been written; where
/// the socket takes no more for now the error is `would_block`, and the next call goes on from there.
using WriteStep = std::function<bool(Tcp::socket&, boost::system::error_code&)>;

/// A step that writes a sequence of buffers, whose memory has to stay valid until all is written.
template <class Buffers>
WriteStep make_write_step(const Buffers& buffers) {
    return [rest = boost::beast::buffers_suffix<Buffers>(buffers)](
               Tcp::socket& socket, boost::system::error_code& failed) mutable {
        rest.consume(socket.write_some(rest, failed));
        return boost::beast::buffer_bytes(rest) == 0;
    };
}

/// Which part of a message is written.
enum class MessagePart {
    header_and_body,  ///< Header and body.
    header            ///< The header only.
};

/// A step that writes that part of a message, which has to stay valid until all is written.
template <bool IsRequest, class Body, class Fields>
WriteStep make_write_step(boost::beast::http::message<IsRequest, Body, Fields>& message, MessagePart part) {
    namespace http = boost::beast::http;
    const auto serializer = std::make_shared<http::serializer<IsRequest, Body, Fields>>(message);
    serializer->split(part == MessagePart::header);
    return [serializer, part](Tcp::socket& socket, boost::system::error_code& failed) {
        http::write_some(socket, *serializer, failed);
        return part == MessagePart::header ? serializer->is_header_done() : serializer->is_done();
    };
}

/// Writes as much as the kernel takes.
/// @param failed  set where a call fails, with `would_block` among others.
/// @return whether everything has been written.
inline bool write_until_blocked(const WriteStep& step, Tcp::socket& socket,
                                boost::system::error_code& failed) {
    bool is_all_written = false;
    while (!is_all_written && !failed) is_all_written = step(socket, failed);
    return is_all_written && !failed;
}

}  // namespace mothring::net
