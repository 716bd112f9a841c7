/// @file
/// Time limits for clients that send requests.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "mothring/types.hpp"

namespace mothring::node::downstream {

/// Computes the deadlines by which a client must send a request. A small request may use a fixed time,
/// however many pieces it arrives in. After that time a larger body must arrive without a long pause and at a
/// minimum average rate, which is half the rate of the slowest expected client.
class RequestTimeouts {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Records the time of the connection. The time limit of the first request counts from here.
    /// @return the deadline of that request.
    TimePoint on_connected(TimePoint now);
    bool awaits_first_request() const { return connected_at_.has_value(); }
    void note_first_request() { connected_at_.reset(); }

    /// Records the arrival of the first byte of a request.
    /// @return the deadline of a small request.
    TimePoint start_head(TimePoint now);
    /// Records that the head is complete and that this many bytes of the body have arrived with it.
    void start_body(std::size_t bytes);
    /// Restarts the time limit of the body after reading was paused for lack of buffer space.
    void resume_body(TimePoint now);
    void note_received(std::size_t bytes) { received_bytes_ += bytes; }
    /// @return the deadline by which more of the body must arrive.
    TimePoint body_deadline(TimePoint now) const;

private:
    std::optional<TimePoint> connected_at_;  // nullopt after the first request
    TimePoint head_started_at_;
    TimePoint body_started_at_;
    std::uint64_t received_bytes_ = 0;  // since body_started_at_
};

}  // namespace mothring::node::downstream
