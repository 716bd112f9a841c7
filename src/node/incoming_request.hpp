/// @file
/// A client's request with the values of its headers, and the events that the downstream side reports.
#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "mothring/types.hpp"
#include "net/body_buffer.hpp"

namespace mothring::node::downstream {

using RequestHead = boost::beast::http::request<boost::beast::http::empty_body>;
using ResponseHead = boost::beast::http::response<boost::beast::http::empty_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/// HTTP/1.1 in Beast's encoding of a version.
inline constexpr unsigned kHttp11 = 11;

/// A client's request as reported by the downstream side.
struct IncomingRequest {
    RequestId id = 0;
    std::shared_ptr<const RequestHead> message;
    /// Null if the request has no body. The rest of the body may still be arriving.
    std::shared_ptr<net::BodyBuffer> body;
    std::string class_name;
    std::string tenant;
    /// The client's time-out. For a complete request it is reduced by the time that the request waited unread
    /// behind another.
    Millis time_left = 0;
    /// The work that the request takes according to the client; 0 if the client gave no estimate.
    Millis effort = 0;
    bool is_retry = false;
};

/// Events of the downstream side. Each identifier belongs to a request reported by on_request.
struct Callbacks {
    std::function<void(IncomingRequest)> on_request;
    /// The last byte of a request has arrived that was reported while incomplete.
    std::function<void(RequestId)> on_body_complete;
    /// The last byte of a request that was reported while incomplete may have been waiting unread for the
    /// client's whole time-out, because the body buffer is full. Repeated until the request has a response.
    std::function<void(RequestId)> on_body_overdue;
    /// The connection of a request without a complete response has ended, or the request was rejected.
    std::function<void(RequestId)> on_client_disconnected;
    /// The server has sent nothing more of a streamed response for a long time. Reported once a pause.
    std::function<void(RequestId)> on_response_stalled;
    /// The last event of each request, reported once; `complete` tells whether its response was written
    /// completely.
    std::function<void(RequestId, bool complete)> on_response_ended;
    /// After drain(): no connection is left.
    std::function<void()> on_drained;
};

/// Reads the headers that the platform defines for requests.
/// @return the request without id, message and body; nullopt if a required header is missing or malformed.
std::optional<IncomingRequest> read_incoming_request(const RequestHead& head);

}  // namespace mothring::node::downstream
