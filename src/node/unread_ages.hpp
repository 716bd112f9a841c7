/// @file
/// For how long bytes have stood unread.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

#include "mothring/types.hpp"

namespace mothring::node::downstream {

/// The time of a request counts from its last byte. When that came is not known of bytes that stood unread,
/// in our buffer or the kernel's: at the earliest when reading stopped, or when the first of them was seen.
/// So that this moment does not lie ever further back for a client that sends without a pause, the unread
/// bytes are counted then: bytes beyond those came later.
class UnreadAges {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    /// How many bytes have come and are unread.
    using CountUnread = std::function<std::size_t()>;

    explicit UnreadAges(CountUnread count_unread) : count_unread_(std::move(count_unread)) {}

    /// Bytes stand unread from now on, unless that is noted already.
    void note_unread(TimePoint now);
    /// Nothing stands unread: what comes is read as it comes.
    void note_all_read() { unread_since_.reset(); }
    /// That many bytes have been read, the oldest first.
    void note_read(std::size_t bytes, TimePoint now);

    bool has_unread() const { return unread_since_.has_value(); }
    /// For how long the bytes that are read next, or were read last, may have stood unread.
    Millis age(TimePoint now) const;

private:
    void count(TimePoint now);

    CountUnread count_unread_;
    std::optional<TimePoint> unread_since_;  // none: nothing stands unread
    TimePoint counted_at_;
    std::size_t counted_ = 0;  // of the bytes counted then, those still unread
};

}  // namespace mothring::node::downstream
