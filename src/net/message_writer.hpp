/// @file
/// Writes HTTP messages in non-blocking steps, so that the caller knows at any time whether the last byte has
/// been handed to the kernel, and no handler is lost when memory is short. The composed writes of Asio and
/// Beast report completion only in their handler, one turn of the event loop later, and drop that handler if
/// an allocation within them fails.
#pragma once

#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>

#include "net/address.hpp"

namespace mothring::net {

/// Performs one non-blocking write and returns whether everything has been written. If the socket accepts no
/// more bytes for now, the error is `would_block`, and the next call continues at the first unwritten byte.
using WriteStep = std::function<bool(Tcp::socket&, boost::system::error_code&)>;

/// Returns a step that writes a sequence of buffers, whose memory must stay valid until all of it is written.
template <class Buffers>
WriteStep make_write_step(const Buffers& buffers) {
    return [rest = boost::beast::buffers_suffix<Buffers>(buffers)](
               Tcp::socket& socket, boost::system::error_code& failed) mutable {
        rest.consume(socket.write_some(rest, failed));
        return boost::beast::buffer_bytes(rest) == 0;
    };
}

/// The part of a message to write.
enum class MessagePart {
    header_and_body,  ///< The header and the body.
    header            ///< The header only.
};

/// Returns a step that writes that part of a message, which must stay valid until all of it is written.
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

/// Writes until everything is written or a call fails, for example because it would block.
/// @param failed  the error of the failed call, `would_block` included.
/// @return whether everything has been written.
inline bool write_until_blocked(const WriteStep& step, Tcp::socket& socket,
                                boost::system::error_code& failed) {
    bool is_all_written = false;
    while (!is_all_written && !failed) is_all_written = step(socket, failed);
    return is_all_written && !failed;
}

}  // namespace mothring::net
