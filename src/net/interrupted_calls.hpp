/// @file
/// Retries of system calls that a signal may interrupt.
#pragma once

#include <cerrno>

namespace mothring::net {

/// Makes the non-blocking system call `call()` up to `most_tries` times until no signal interrupts it.
/// Returns the last result. If that is negative, errno holds the error: EINTR if every call was interrupted.
template <class Call>
int retry_on_eintr(int most_tries, Call call) {
    int result = -1;
    for (int tries = 0; tries < most_tries; ++tries) {
        result = call();
        if (result >= 0 || errno != EINTR) break;
    }
    return result;
}

}  // namespace mothring::net
