/// @file
/// The graceful shutdown of the sidecar.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "net/clock.hpp"
#include "node/downstream_listener.hpp"
#include "node/in_flight_requests.hpp"
#include "node/lifetime_guard.hpp"

namespace mothring::node {

/// Lets the requests in flight finish within a limited time, and reports the end.
class GracefulShutdown {
public:
    /// @param clock, in_flight  must outlive this.
    /// @param longest_deadline  the longest deadline of any request class.
    GracefulShutdown(boost::asio::io_context& io, const net::Clock& clock, Millis longest_deadline,
                     const InFlightRequests& in_flight);

    /// Returns true from begin() until finish().
    bool in_progress() const { return on_finished_ != nullptr; }

    void begin(std::function<void()> on_finished) { on_finished_ = std::move(on_finished); }

    /// Lets the listener finish its requests, and closes the connections without a request shortly before the
    /// time is over.
    /// @param listener  must outlive this.
    void drain(DownstreamListener& listener);

    /// Reports the end. Further calls have no effect.
    void finish();

    /// Returns the given time that a request has left, shortened to the end of the shutdown.
    Millis limit(Millis time_left) const;

    /// Returns whether the response to a request that became complete at this time has to end before the
    /// platform may kill the process. Responses to earlier requests may be cut off then.
    bool must_end_response(Millis complete_at) const;

private:
    void close_waiting_after(Millis delay, Millis remaining);

    const net::Clock& clock_;
    Millis longest_deadline_;
    const InFlightRequests& in_flight_;
    DownstreamListener* listener_ = nullptr;
    std::function<void()> on_finished_;
    /// 0: no shutdown is in progress.
    Millis began_at_ = 0;
    /// When the last response has to be sent; 0: no shutdown is in progress.
    Millis ends_at_ = 0;
    boost::asio::steady_timer timer_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
