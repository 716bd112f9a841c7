/// @file
/// The graceful shutdown: the requests in flight are finished, within a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "net/clock.hpp"
#include "node/downstream_listener.hpp"
#include "node/in_flight_requests.hpp"
#include "node/lifetime_guard.hpp"

namespace mothring::node {

class GracefulShutdown {
public:
    /// @param clock, in_flight  must outlive this.
    /// @param longest_deadline  of a request of any class.
    GracefulShutdown(boost::asio::io_context& io, const net::Clock& clock, Millis longest_deadline,
                     const InFlightRequests& in_flight);

    /// From begin() until finish().
    bool in_progress() const { return on_finished_ != nullptr; }

    void begin(std::function<void()> on_finished) { on_finished_ = std::move(on_finished); }

    /// Lets the listener finish its requests, and ends what waits for nothing once the time is over.
    /// @param listener  must outlive this.
    void drain(DownstreamListener& listener);

    /// Reports the end, once.
    void finish();

    /// The part of a request's time that the shutdown leaves it.
    Millis limit(Millis time_left) const;

private:
    void end_waiting_after(Millis delay, Millis remaining);

    const net::Clock& clock_;
    Millis longest_deadline_;
    const InFlightRequests& in_flight_;
    DownstreamListener* listener_ = nullptr;
    std::function<void()> on_finished_;
    /// When the last response has to be given; 0: no shutdown.
    Millis ends_at_ = 0;
    boost::asio::steady_timer timer_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
