#include "node/unread_ages.hpp"

#include "net/clock.hpp"

namespace mothring::node::downstream {

void UnreadAges::note_unread(TimePoint now) {
    if (unread_since_) return;
    unread_since_ = now;
    count(now);
}

void UnreadAges::note_read(std::size_t bytes, TimePoint now) {
    if (!unread_since_ || bytes == 0) return;
    if (bytes <= counted_) {
        counted_ -= bytes;
        return;
    }
    unread_since_ = counted_at_;
    count(now);
}

Millis UnreadAges::age(TimePoint now) const { return unread_since_ ? net::millis(now - *unread_since_) : 0; }

void UnreadAges::count(TimePoint now) {
    counted_at_ = now;
    counted_ = count_unread_();
}

}  // namespace mothring::node::downstream
