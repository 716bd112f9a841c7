/// @file
/// Pauses between repeated socket calls that fail.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "mothring/types.hpp"
#include "net/clock.hpp"
#include "net/socket_errors.hpp"

namespace mothring::net {

/// Decides when a failed accept or receive is retried, and owns the timer of the pause.
class RetryPacer {
public:
    /// @param pause  length of a pause.
    RetryPacer(boost::asio::io_context& io, Millis pause) : timer_(io), pause_(pause) {}

    /// Records that a call has succeeded.
    void on_success() { pace_.on_success(); }

    /// @return whether to pause after this failure; otherwise the call may be retried immediately.
    bool must_pause_after(boost::system::error_code failed) { return pace_.must_pause_after(failed); }

    /// Calls `resume` after the pause, unless another pause begins or this object is destroyed first.
    template <class Resume>
    void pause(Resume resume) {
        timer_.expires_after(to_duration(pause_));
        timer_.async_wait([resume = std::move(resume)](boost::system::error_code cancelled) mutable {
            if (!cancelled) resume();
        });
    }

    /// Cancels the pause; its `resume` is not called.
    void cancel() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
    Millis pause_;
    FailurePace pace_;
};

}  // namespace mothring::net
