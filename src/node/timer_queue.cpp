#include "node/timer_queue.hpp"

#include <utility>

namespace mothring::node {

TimerQueue::TimerQueue(boost::asio::io_context& io, const net::Clock& clock, OnDue on_due)
    : clock_(clock), on_due_(std::move(on_due)), timer_(io) {}

/// The entry that is due first is the greatest element, as the top of a std::priority_queue is its greatest
/// one.
bool TimerQueue::Scheduled::operator<(const Scheduled& other) const {
    if (at != other.at) return at > other.at;
    if (entry.index() != other.entry.index()) return entry.index() > other.entry.index();
    return sequence > other.sequence;
}

void TimerQueue::add(Millis at, const Entry& entry) {
    scheduled_.push({at, next_sequence_, entry});
    ++next_sequence_;
}

void TimerQueue::arm() {
    if (scheduled_.empty()) return;
    timer_.expires_at(clock_.to_time_point(scheduled_.top().at));
    timer_.async_wait(guard_.while_alive([this] { report_due(); }));
}

void TimerQueue::report_due() {
    while (!scheduled_.empty() && scheduled_.top().at <= clock_.now()) {
        const Entry entry = scheduled_.top().entry;
        scheduled_.pop();
        on_due_(entry);
    }
    arm();
}

}  // namespace mothring::node
