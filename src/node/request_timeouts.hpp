/// @file
/// How long a client may take to send a request.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "mothring/types.hpp"

namespace mothring::node::downstream {

/// A small request may take its time whatever its pieces. A larger body has to come on after that, without a
/// long pause, and at half the pace of the slowest writer on the whole.
class RequestTimeouts {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// The time of the first request counts from connecting on.
    /// @return by when that request has to be complete.
    TimePoint connect(TimePoint now);
    bool awaits_first_request() const { return connected_at_.has_value(); }
    void note_first_request() { connected_at_.reset(); }

    /// The first byte of a request is here.
    /// @return by when a small request has to be complete.
    TimePoint start_head(TimePoint now);
    /// The head is complete, with that many bytes of the body.
    void start_body(std::size_t bytes);
    /// There was no room for the body, and now there is: its time counts anew.
    void resume_body(TimePoint now);
    void note_received(std::size_t bytes) { received_ += bytes; }
    /// @return by when more of the body has to come.
    TimePoint body_due(TimePoint now) const;

private:
    std::optional<TimePoint> connected_at_;  // none: a request has come
    TimePoint head_began_;
    TimePoint body_began_;
    std::uint64_t received_ = 0;  // bytes, since body_began_
};

}  // namespace mothring::node::downstream
