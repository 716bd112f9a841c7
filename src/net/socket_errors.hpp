/// @file
/// What the error of a socket call is about: this machine, one connection, or nothing at all.
#pragma once

#include <poll.h>

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>

#include "net/interrupted_calls.hpp"

namespace mothring::net {

/// Whether a signal interrupted the call, which has done nothing and tells nothing of the socket.
inline bool is_interrupted(boost::system::error_code error) {
    return error == boost::asio::error::interrupted;
}

/// Whether nothing is wrong: the call would have had to wait, or a signal interrupted it. Wait, and call
/// again.
inline bool is_transient(boost::system::error_code error) {
    return error == boost::asio::error::would_block || error == boost::asio::error::try_again ||
           is_interrupted(error);
}

/// How often a call that signals interrupt is made at most.
inline constexpr int kMaxInterruptedCalls = 16;

/// Makes a call on a non-blocking socket, `call(error)`, again while signals interrupt it.
/// @return its error; `interrupted` only after kInterruptedTries calls.
template <class Call>
boost::system::error_code retry_while_interrupted(Call call) {
    boost::system::error_code error;
    for (int tries = 0; tries < kMaxInterruptedCalls; ++tries) {
        call(error);
        if (!is_interrupted(error)) break;
    }
    return error;
}

/// Whether this machine lacks the descriptor or the memory for the call.
inline bool is_resource_shortage(boost::system::error_code error) {
    if (error.category() != boost::system::system_category()) return false;
    switch (error.value()) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
            return true;
        default:
            return false;
    }
}

/// Whether connecting has failed at this machine, for want of a port, a route, a descriptor or memory, or by
/// a rule of its own. Such an error tells nothing of the other side.
inline bool is_local_failure(boost::system::error_code error) {
    if (is_resource_shortage(error) || is_transient(error)) return true;
    if (error.category() != boost::system::system_category()) return false;
    switch (error.value()) {
        case EACCES:
        case EADDRINUSE:
        case EADDRNOTAVAIL:
        case ENETDOWN:
        case ENETUNREACH:
        case EPERM:
            return true;
        default:
            return false;
    }
}

/// Decides whether a call that has failed is retried at once or after a pause. Most failures are about one
/// connection or datagram, and those behind it must not wait. A shortage lasts for a while, and so may any
/// failure that comes many times in a row. RetryPacer has the timer as well.
class FailurePace {
public:
    /// A call has succeeded.
    void on_success() { in_a_row_ = 0; }
    /// @return whether to pause after this failure; else the next call is due at once.
    bool must_pause_after(boost::system::error_code failed) {
        if (!is_resource_shortage(failed) && ++in_a_row_ < kFailuresBeforePause) return false;
        in_a_row_ = 0;
        return true;
    }

private:
    /// Failures in a row after which there is a pause.
    static constexpr int kFailuresBeforePause = 16;

    int in_a_row_ = 0;
};

/// Polls a descriptor without waiting.
/// @return those of the events that hold now; POLLHUP and POLLERR are always included.
inline short poll_events(int descriptor, short events) {
    pollfd entry{descriptor, events, 0};
    const int answered = retry_on_eintr(kMaxInterruptedCalls, [&] { return ::poll(&entry, 1, 0); });
    return answered >= 0 ? entry.revents : short{0};
}

}  // namespace mothring::net
