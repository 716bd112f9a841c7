/// @file
/// The messages that the sidecar makes: requests as forwarded, and responses to clients.
#pragma once

#include <boost/beast/http.hpp>
#include <string>

#include "mothring/types.hpp"
#include "node/downstream_listener.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// The head of a client's request as it is forwarded to a server.
UpstreamPool::RequestHead forwarded_head(const DownstreamListener::RequestHead& head);

/// A server's response as it is forwarded to the client.
DownstreamListener::Response forwarded_response(UpstreamPool::Response response);

/// A response of the sidecar's own, without a body.
DownstreamListener::Response empty_response(boost::beast::http::status status);

/// The response to a request that is rejected.
/// @param retry_after  0: none.
DownstreamListener::Response rejection(Millis retry_after);

/// States how much of the request's time is left, in whole milliseconds.
void set_time_left(UpstreamPool::RequestHead& head, Millis time_left);

}  // namespace mothring::node
