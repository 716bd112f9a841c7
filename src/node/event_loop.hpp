/// @file
/// Hands events to the Balancer and carries out the actions that it answers with.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <vector>

#include "mothring/balancer.hpp"
#include "net/clock.hpp"
#include "node/timer_queue.hpp"

namespace mothring::node {

/// Owns the Balancer and its timers. An event that happens while actions are carried out waits until they all
/// are.
class EventLoop {
public:
    struct Callbacks {
        /// Carries out an action.
        std::function<void(const Action& action)> execute;
        /// The time of an attempt has ended; it may have ended itself before.
        std::function<void(const AttemptDeadline& deadline)> on_attempt_deadline;
        /// The handling of an event has thrown, and with it some of its actions may be lost.
        std::function<void()> on_failure;
    };

    /// @param clock  must outlive this.
    EventLoop(boost::asio::io_context& io, const net::Clock& clock, Balancer balancer, Callbacks callbacks);

    /// Handles an event, and those that follow from it, before it returns; called while an event is being
    /// handled, it only adds this one to those that wait.
    void handle(Event event);

    /// Reports the entry once it is due.
    void schedule(Millis at, const TimerQueue::Entry& entry);

    Balancer::Gauges gauges() const { return balancer_.gauges(); }

private:
    enum class State { idle, handling };

    void handle_one(const Event& event);
    void on_due(const TimerQueue::Entry& entry);

    const net::Clock& clock_;
    Balancer balancer_;
    Callbacks callbacks_;
    std::deque<Event> waiting_;
    State state_ = State::idle;
    std::vector<Action> actions_;
    TimerQueue timers_;
};

}  // namespace mothring::node
