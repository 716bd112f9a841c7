// What a failed call on a socket tells: of this machine, of one connection, or of nothing at all.
#pragma once

#include <poll.h>

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>

#include "net/interrupted_calls.hpp"

namespace mothring::net {

/// Whether a signal came in between: the call has done nothing, and says nothing of what there is to do.
inline bool is_interrupted(boost::system::error_code error) {
    return error == boost::asio::error::interrupted;
}

/// Whether nothing is wrong: there is nothing to read yet, or a signal came in between. Wait, and call again.
inline bool is_to_be_repeated(boost::system::error_code error) {
    return error == boost::asio::error::would_block || error == boost::asio::error::try_again ||
           is_interrupted(error);
}

/// A signal may interrupt a call that does not wait, but not for ever: so often it is made at most.
inline constexpr int kInterruptedTries = 16;

/// Makes a call on a non-blocking socket, `call(error)`, anew while signals interrupt it, and returns its
/// error: `interrupted` only where that came kInterruptedTries times in a row.
template <class Call>
boost::system::error_code repeated_while_interrupted(Call call) {
    boost::system::error_code error;
    for (int tries = 0; tries < kInterruptedTries; ++tries) {
        call(error);
        if (!is_interrupted(error)) break;
    }
    return error;
}

/// Whether this machine has no descriptor or no memory for it now.
inline bool is_shortage(boost::system::error_code error) {
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
/// a rule of its own: that says nothing of whoever was to be reached.
inline bool is_local_failure(boost::system::error_code error) {
    if (is_shortage(error) || is_to_be_repeated(error)) return true;
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

/// When a call that fails again and again is to be made anew. Most failures are of one connection or one
/// datagram, and what is behind it must not wait; a shortage goes on for a while, and so may any failure that
/// comes many times in a row.
class FailurePace {
public:
    void succeeded() { in_a_row_ = 0; }
    /// Whether to pause after this failure; else the next call is due at once.
    bool pauses_after(boost::system::error_code failed) {
        if (!is_shortage(failed) && ++in_a_row_ < kAtOnce) return false;
        in_a_row_ = 0;
        return true;
    }

private:
    static constexpr int kAtOnce = 16;

    int in_a_row_ = 0;
};

/// Those of the events that hold for a descriptor now, without waiting; POLLHUP and POLLERR are always among
/// those asked for.
inline short events_now(int descriptor, short events) {
    pollfd entry{descriptor, events, 0};
    const int answered = uninterrupted(kInterruptedTries, [&] { return ::poll(&entry, 1, 0); });
    return answered >= 0 ? entry.revents : short{0};
}

}  // namespace mothring::net
