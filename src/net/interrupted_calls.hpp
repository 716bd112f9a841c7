// System calls that a signal may interrupt.
#pragma once

#include <cerrno>

namespace mothring::net {

/// Makes a system call that does not wait, `call()`, anew while signals interrupt it, `most_tries` times at
/// most. Returns its last result; where that is negative, errno tells why, EINTR if it never got through.
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
