#include "node/request_timeouts.hpp"

#include <algorithm>

#include "net/clock.hpp"

namespace mothring::node::downstream {

namespace {

constexpr Millis kSmallRequest = 2400;
constexpr Millis kBodyPause = 700;
constexpr double kSlowestPace = 32;  // bytes in a millisecond

}  // namespace

RequestTimeouts::TimePoint RequestTimeouts::connect(TimePoint now) {
    connected_at_ = now;
    return now + net::to_duration(kSmallRequest);
}

RequestTimeouts::TimePoint RequestTimeouts::start_head(TimePoint now) {
    head_began_ = connected_at_.value_or(now);
    return head_began_ + net::to_duration(kSmallRequest);
}

void RequestTimeouts::start_body(std::size_t bytes) {
    body_began_ = head_began_;
    received_ = bytes;
}

void RequestTimeouts::resume_body(TimePoint now) {
    body_began_ = now;
    received_ = 0;
}

RequestTimeouts::TimePoint RequestTimeouts::body_due(TimePoint now) const {
    const TimePoint small = body_began_ + net::to_duration(kSmallRequest);
    const TimePoint paced = small + net::to_duration(static_cast<double>(received_) / kSlowestPace);
    return std::max(small, std::min(now + net::to_duration(kBodyPause), paced));
}

}  // namespace mothring::node::downstream
