/// @file
/// The table of requests and their attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mothring/types.hpp"
#include "net/body_buffer.hpp"
#include "node/downstream_listener.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// A time later than any other; used for a deadline that is not known yet.
constexpr Millis kNever = 1e15;

/// One sending of a request to a server.
struct Attempt {
    ExchangeId exchange = 0;
    ServerId server = 0;
    Millis sent_at = 0;
    bool in_flight = true;
    /// Time at which streaming of the response to the client started; 0 if it has not.
    Millis response_started_at = 0;

    bool has_response_started() const { return response_started_at > 0; }
};

/// A client's request.
struct Request {
    std::shared_ptr<const DownstreamListener::RequestHead> head;
    /// Null if the request has no body.
    std::shared_ptr<net::BodyBuffer> body;
    std::uint32_t class_index = 0;
    /// Time from the last byte of the request until the client times out.
    Millis time_left = 0;
    /// Time at which the last byte arrived; 0 if the request is incomplete.
    Millis complete_at = 0;
    /// kNever while the request is incomplete.
    Millis deadline = kNever;
    std::vector<Attempt> attempts;
    /// Whether the final response has started, or the client has left.
    bool has_ended = false;
    /// Whether a server may have run it, in an attempt that has ended, or an earlier request with its id.
    bool may_have_run = false;

    bool is_complete() const { return complete_at > 0; }
    bool has_attempt_in_flight() const;
};

/// Holds each request until its final response has started and its attempts have ended.
class RequestTable {
public:
    using Map = std::unordered_map<RequestId, Request>;

    Request& add(RequestId id) { return requests_[id]; }
    bool contains(RequestId id) const { return requests_.contains(id); }
    const Request& at(RequestId id) const { return requests_.at(id); }
    /// Returns a request, or null if the table does not hold it.
    Request* find(RequestId id);
    /// Returns a request, or null if the table does not hold it or it has ended.
    Request* find_open(RequestId id);

    /// Erases a request if it has ended and has no attempt in flight.
    void forget_if_done(RequestId id);

    const Map& all() const { return requests_; }
    std::size_t size() const { return requests_.size(); }

private:
    Map requests_;
};

}  // namespace mothring::node
