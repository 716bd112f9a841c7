/// @file
/// The loop that passes events to the Balancer and executes the Balancer's actions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <vector>

#include "mothring/balancer.hpp"
#include "net/clock.hpp"
#include "node/timer_queue.hpp"

namespace mothring::node {

/// Owns the Balancer and its timers. An event that occurs while the actions of another are executed is queued
/// until all of them are done.
class EventLoop {
public:
    struct Callbacks {
        /// Executes an action.
        std::function<void(const Action& action)> execute;
        /// Reports that the deadline of an attempt has passed. The attempt may have ended before.
        std::function<void(const AttemptDeadline& deadline)> on_attempt_deadline;
        /// Reports that the handling of an event has thrown. Some actions of the event may not have been
        /// executed.
        std::function<void()> on_failure;
    };

    /// @param clock  must outlive this.
    EventLoop(boost::asio::io_context& io, const net::Clock& clock, Balancer balancer, Callbacks callbacks);

    /// Handles an event and those that result from it before it returns. If called while another event is
    /// being handled, it only queues this one.
    void handle(Event event);

    /// Schedules an entry, which is handled once it is due.
    void schedule(Millis at, const TimerQueue::Entry& entry);

    Balancer::Gauges gauges() const { return balancer_.gauges(); }

private:
    enum class State { idle, handling };

    void handle_one(const Event& event);
    void on_due(const TimerQueue::Entry& entry);

    const net::Clock& clock_;
    Balancer balancer_;
    Callbacks callbacks_;
    std::deque<Event> pending_events_;
    State state_ = State::idle;
    std::vector<Action> actions_;
    TimerQueue timers_;
};

}  // namespace mothring::node
