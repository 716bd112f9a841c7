/// @file
/// Functions that build the messages the sidecar sends: forwarded requests, and responses to clients.
#pragma once

#include <boost/beast/http.hpp>
#include <string>

#include "mothring/types.hpp"
#include "node/downstream_listener.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// Returns the head of a client's request as it is forwarded to a server.
UpstreamPool::RequestHead forwarded_head(const DownstreamListener::RequestHead& head);

/// Returns a server's response as it is forwarded to the client.
DownstreamListener::Response forwarded_response(UpstreamPool::Response response);

/// Returns a response without a body that the sidecar itself generates.
DownstreamListener::Response empty_response(boost::beast::http::status status);

/// Returns the 503 response for a rejected request.
/// @param retry_after  value of Retry-After; 0 omits the header.
DownstreamListener::Response rejection(Millis retry_after);

/// Sets the Request-Timeout-Ms header, in whole milliseconds.
void set_time_left(UpstreamPool::RequestHead& head, Millis time_left);

}  // namespace mothring::node
