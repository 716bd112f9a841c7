// Writing HTTP messages so that it is known at any time whether their last byte has been handed to the
// kernel, and so that no handler is lost where memory is short: Asio's and Beast's composed writes tell the
// first only in their handler, a turn of the loop later, and drop that handler when an allocation within them
// fails.
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

/// Writes a sequence of buffers, which have to stay until it has been written.
template <class Buffers>
WriteStep write_step(const Buffers& buffers) {
    return [rest = boost::beast::buffers_suffix<Buffers>(buffers)](
               Tcp::socket& socket, boost::system::error_code& failed) mutable {
        rest.consume(socket.write_some(rest, failed));
        return boost::beast::buffer_bytes(rest) == 0;
    };
}

/// Which part of a message is written.
enum class Part { whole, header };

/// Writes that part of a message, which has to stay until it has been written.
template <bool IsRequest, class Body, class Fields>
WriteStep write_step(boost::beast::http::message<IsRequest, Body, Fields>& message, Part part) {
    namespace http = boost::beast::http;
    const auto serializer = std::make_shared<http::serializer<IsRequest, Body, Fields>>(message);
    serializer->split(part == Part::header);
    return [serializer, part](Tcp::socket& socket, boost::system::error_code& failed) {
        http::write_some(socket, *serializer, failed);
        return part == Part::header ? serializer->is_header_done() : serializer->is_done();
    };
}

/// Writes until everything is written (true), or a call fails; `would_block` among others.
inline bool write_what_is_taken(const WriteStep& step, Tcp::socket& socket,
                                boost::system::error_code& failed) {
    bool all = false;
    while (!all && !failed) all = step(socket, failed);
    return all && !failed;
}

}  // namespace mothring::net
