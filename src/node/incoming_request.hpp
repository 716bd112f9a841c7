/// @file
/// A request of the application, as the protocol words it.
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

/// HTTP/1.1, as Beast writes a version.
inline constexpr unsigned kHttp11 = 11;

struct IncomingRequest {
    RequestId id = 0;
    std::shared_ptr<const RequestHead> message;
    /// Null: it has none. The rest of it may still be coming.
    std::shared_ptr<net::BodyBuffer> body;
    std::string class_name;
    std::string tenant;
    /// Of a complete request, less the time for which it has stood unread behind another.
    Millis time_left = 0;
    /// The work that it is said to cost; 0: not said.
    Millis effort = 0;
    bool is_retry = false;
};

/// What the downstream side reports. Each identifier is of a request reported by on_request.
struct Callbacks {
    std::function<void(IncomingRequest)> on_request;
    /// The last byte has come of a request that was reported before it.
    std::function<void(RequestId)> on_body_complete;
    /// The client has closed the connection of a request that has no response yet.
    std::function<void(RequestId)> on_client_disconnected;
    /// Once for each request, after everything else: whether its response has been written completely.
    std::function<void(RequestId, bool complete)> on_response_ended;
    /// After drain(): no client is left.
    std::function<void()> on_drained;
};

/// Reads the headers that the protocol gives to a request.
/// @return nullopt where they are not in the protocol's form; else without id, message and body.
std::optional<IncomingRequest> read_incoming_request(const RequestHead& head);

}  // namespace mothring::node::downstream
