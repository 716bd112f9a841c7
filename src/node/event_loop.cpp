#include "node/event_loop.hpp"

#include <exception>
#include <utility>
#include <variant>

#include "net/log.hpp"

namespace mothring::node {

EventLoop::EventLoop(boost::asio::io_context& io, const net::Clock& clock, Balancer balancer,
                     Callbacks callbacks)
    : clock_(clock),
      balancer_(std::move(balancer)),
      callbacks_(std::move(callbacks)),
      timers_(io, clock, [this](const TimerQueue::Entry& entry) { on_due(entry); }) {}

void EventLoop::handle(Event event) {
    pending_events_.push_back(std::move(event));
    if (state_ == State::handling) return;
    state_ = State::handling;
    while (!pending_events_.empty()) {
        const Event next = std::move(pending_events_.front());
        pending_events_.pop_front();
        handle_one(next);
    }
    state_ = State::idle;
    timers_.arm();
}

/// A failure, such as a lack of memory, affects only this event.
void EventLoop::handle_one(const Event& event) {
    actions_.clear();
    try {
        balancer_.handle(clock_.now(), event, actions_);
        for (const Action& action : actions_) callbacks_.execute(action);
    } catch (const std::exception& error) {
        net::log(net::LogLevel::err, "event.failed", {{"error", error.what()}});
        callbacks_.on_failure();
    }
}

void EventLoop::schedule(Millis at, const TimerQueue::Entry& entry) {
    timers_.add(at, entry);
    if (state_ == State::idle) timers_.arm();
}

void EventLoop::on_due(const TimerQueue::Entry& entry) {
    if (const auto* token = std::get_if<TimerToken>(&entry))
        handle(TimerFired{*token});
    else
        callbacks_.on_attempt_deadline(std::get<AttemptDeadline>(entry));
}

}  // namespace mothring::node
