/// @file
/// Estimates for how long received bytes have been unread.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

#include "mothring/types.hpp"

namespace mothring::node::downstream {

/// Computes an upper bound for the time for which bytes have been unread in the sidecar's or the kernel's
/// buffer. The time of a request starts with the arrival of its last byte, which is not observed while
/// reading is paused. The bound starts when reading paused or when unread bytes were first seen. The number
/// of unread bytes is counted at that moment: any byte beyond that number arrived later. Without the count,
/// the bound would grow without limit for a client that sends without a pause.
class UnreadAges {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    /// Returns the number of bytes that have been received and not read.
    using CountUnread = std::function<std::size_t()>;

    explicit UnreadAges(CountUnread count_unread) : count_unread_(std::move(count_unread)) {}

    /// Records that unread bytes exist from now on. Has no effect if that is recorded already.
    void note_unread(TimePoint now);
    /// Records that no bytes are unread and that reading is not paused.
    void note_all_read() { unread_since_.reset(); }
    /// Records that the oldest `bytes` of the unread bytes have been read.
    void note_read(std::size_t bytes, TimePoint now);

    bool has_unread() const { return unread_since_.has_value(); }
    /// Returns the longest time for which the bytes read last, or the next ones, can have been unread.
    Millis age(TimePoint now) const;

private:
    void count(TimePoint now);

    CountUnread count_unread_;
    std::optional<TimePoint> unread_since_;  // absent if no bytes are unread
    TimePoint counted_at_;
    std::size_t counted_ = 0;  // number of the bytes counted at counted_at_ that are still unread
};

}  // namespace mothring::node::downstream
