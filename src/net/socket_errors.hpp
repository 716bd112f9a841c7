/// @file
/// Classification of socket errors: local to this machine, specific to one connection, or transient.
#pragma once

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>

#include "net/interrupted_calls.hpp"

namespace mothring::net {

/// Returns whether a signal interrupted the call. The call has had no effect then, and the error says nothing
/// about the socket.
inline bool is_interrupted(boost::system::error_code error) {
    return error == boost::asio::error::interrupted;
}

/// Returns whether the call would have blocked or a signal interrupted it. The caller waits for readiness and
/// retries.
inline bool is_transient(boost::system::error_code error) {
    return error == boost::asio::error::would_block || error == boost::asio::error::try_again ||
           is_interrupted(error);
}

/// Maximum number of calls in a row while signals interrupt them.
inline constexpr int kMaxInterruptedCalls = 16;

/// Makes the call `call(error)` on a non-blocking socket and retries it while signals interrupt it.
/// @return the error of the last call; `interrupted` only after kMaxInterruptedCalls calls.
template <class Call>
boost::system::error_code retry_while_interrupted(Call call) {
    boost::system::error_code error;
    for (int tries = 0; tries < kMaxInterruptedCalls; ++tries) {
        call(error);
        if (!is_interrupted(error)) break;
    }
    return error;
}

/// Returns whether the call failed because this machine is out of file descriptors or memory.
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

/// Returns whether a connect failed on this machine: no port, route, descriptor or memory was available, or a
/// local rule forbade it. Such an error says nothing about the server.
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

/// Decides whether a failed call is retried immediately or after a pause. Most failures concern one
/// connection or datagram, and the ones queued behind it must not wait. A shortage of resources lasts for a
/// while, and so may any failure that occurs many times in a row. RetryPacer adds the timer of the pause.
class FailurePace {
public:
    /// Records that a call has succeeded.
    void on_success() { in_a_row_ = 0; }
    /// @return whether to pause after this failure; otherwise the call may be retried immediately.
    bool must_pause_after(boost::system::error_code failed) {
        if (!is_resource_shortage(failed) && ++in_a_row_ < kFailuresBeforePause) return false;
        in_a_row_ = 0;
        return true;
    }

private:
    /// Number of consecutive failures that leads to a pause.
    static constexpr int kFailuresBeforePause = 16;

    int in_a_row_ = 0;
};

/// Returns whether bytes that were written to a socket have not reached the other machine yet.
inline bool has_unsent_bytes(int socket) {
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/// Polls a descriptor without blocking.
/// @return the requested events that are pending now, with POLLHUP and POLLERR always included.
inline short poll_events(int descriptor, short events) {
    pollfd entry{descriptor, events, 0};
    const int answered = retry_on_eintr(kMaxInterruptedCalls, [&] { return ::poll(&entry, 1, 0); });
    return answered >= 0 ? entry.revents : short{0};
}

}  // namespace mothring::net
