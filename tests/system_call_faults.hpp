// System calls that fail for a moment, in the ways that Linux documents, for tests of what a program does
// about that.
//
// The calls are defined in the test executable, whose symbols go before those of the C library: a call of the
// program under test comes here first, and goes on to the library unless a fault has been armed for it. A
// filter by port keeps the test's own peers, in the same process, out of it. For one thread.
#pragma once

#include <cstddef>
#include <cstdint>

namespace mothring::test {

enum class SystemCall { accept, socket, connect, poll, epoll_wait, receive, send };

/// Which sockets are meant: those with these ports; 0: any. A call that has no socket matches only `{}`.
struct Ports {
    std::uint16_t local = 0;
    std::uint16_t peer = 0;
};

/// Arms faults; all of them, and the counts, end with it. One at a time.
class SystemCallFaults {
public:
    SystemCallFaults();
    ~SystemCallFaults();
    SystemCallFaults(const SystemCallFaults&) = delete;
    SystemCallFaults& operator=(const SystemCallFaults&) = delete;

    /// The next `times` such calls on such sockets fail with that value of errno, and do nothing else. Takes
    /// the place of what was armed for that call before; 0 times ends it.
    void fail(SystemCall call, int error, int times = 1, Ports ports = {});
    /// Each such call moves at most so many bytes.
    void limit_bytes(SystemCall receive_or_send, std::size_t most_bytes, Ports ports = {});

    /// How many such calls have failed by what was armed last, and how many of its filter were made since.
    int failure_count(SystemCall call) const;
    int call_count(SystemCall call) const;
    /// How many calls would have waited without a limit, in poll(): they are interrupted instead.
    int unbounded_wait_count() const;
};

}  // namespace mothring::test
