/// @file
/// The requests that the sidecar has, with the attempts made for them.
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

/// A later time than any; for what has no end yet.
constexpr Millis kNever = 1e15;

/// An attempt to have a request served by a server.
struct Attempt {
    ExchangeId exchange = 0;
    ServerId server = 0;
    Millis sent_at = 0;
    bool in_flight = true;
    /// When the response that is streamed to the client began; 0: it has not.
    Millis response_started_at = 0;

    bool has_response_started() const { return response_started_at > 0; }
};

/// A client's request.
struct Request {
    std::shared_ptr<const DownstreamListener::RequestHead> head;
    /// Null: it has none.
    std::shared_ptr<net::BodyBuffer> body;
    std::uint32_t class_index = 0;
    /// Until the client gives up, from its last byte on.
    Millis time_left = 0;
    /// When its last byte arrived; 0: it has not yet.
    Millis complete_at = 0;
    Millis deadline = kNever;
    std::vector<Attempt> attempts;
    /// Its client has the final response, or the beginning of it, or has left.
    bool has_ended = false;

    bool is_complete() const { return complete_at > 0; }
    bool has_attempt_in_flight() const;
};

/// Holds each request until it has its final response and its attempts have ended.
class RequestTable {
public:
    using Map = std::unordered_map<RequestId, Request>;

    Request& add(RequestId id) { return requests_[id]; }
    bool contains(RequestId id) const { return requests_.contains(id); }
    const Request& at(RequestId id) const { return requests_.at(id); }
    /// Null: not known.
    Request* find(RequestId id);
    /// Null: not known, or it has ended.
    Request* find_open(RequestId id);

    /// Drops a request that has ended and has no attempt in flight.
    void forget_if_done(RequestId id);

    const Map& all() const { return requests_; }
    std::size_t size() const { return requests_.size(); }

private:
    Map requests_;
};

}  // namespace mothring::node
