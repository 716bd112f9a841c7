#include "node/request_timeouts.hpp"

#include <algorithm>

#include "net/clock.hpp"

namespace mothring::node::downstream {

namespace {

constexpr Millis kSmallRequestTimeout = 2400;
constexpr Millis kMaxBodyPause = 700;
constexpr double kMinBodyBytesPerMilli = 32;  // half the rate of the slowest expected client

}  // namespace

RequestTimeouts::TimePoint RequestTimeouts::on_connected(TimePoint now) {
    connected_at_ = now;
    return now + net::to_duration(kSmallRequestTimeout);
}

RequestTimeouts::TimePoint RequestTimeouts::start_head(TimePoint now) {
    head_started_at_ = connected_at_.value_or(now);
    return head_started_at_ + net::to_duration(kSmallRequestTimeout);
}

void RequestTimeouts::start_body(std::size_t bytes) {
    body_started_at_ = head_started_at_;
    received_bytes_ = bytes;
}

void RequestTimeouts::resume_body(TimePoint now) {
    body_started_at_ = now;
    received_bytes_ = 0;
}

RequestTimeouts::TimePoint RequestTimeouts::body_deadline(TimePoint now) const {
    const TimePoint small = body_started_at_ + net::to_duration(kSmallRequestTimeout);
    const TimePoint paced =
        small + net::to_duration(static_cast<double>(received_bytes_) / kMinBodyBytesPerMilli);
    return std::max(small, std::min(now + net::to_duration(kMaxBodyPause), paced));
}

}  // namespace mothring::node::downstream
