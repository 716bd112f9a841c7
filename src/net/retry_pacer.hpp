/// @file
/// Pauses between calls on a socket that fail again and again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "mothring/types.hpp"
#include "net/clock.hpp"
#include "net/socket_errors.hpp"

namespace mothring::net {

/// Decides when a failed accept or receive is retried, and keeps the timer of the pause.
class RetryPacer {
public:
    /// @param pause  how long a pause takes.
    RetryPacer(boost::asio::io_context& io, Millis pause) : timer_(io), pause_(pause) {}

    /// A call has succeeded.
    void on_success() { pace_.on_success(); }

    /// @return whether to pause after this failure; else the next call is due at once.
    bool must_pause_after(boost::system::error_code failed) { return pace_.must_pause_after(failed); }

    /// Calls `resume` after the pause, unless another one begins, or this object ends, before.
    template <class Resume>
    void pause(Resume resume) {
        timer_.expires_after(to_duration(pause_));
        timer_.async_wait([resume = std::move(resume)](boost::system::error_code cancelled) mutable {
            if (!cancelled) resume();
        });
    }

    /// Ends the pause without resuming.
    void cancel() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
    Millis pause_;
    FailurePace pace_;
};

}  // namespace mothring::net
