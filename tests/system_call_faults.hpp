/// @file
/// Injects temporary failures of system calls, with the errors that Linux documents, to test how the code
/// under test handles them.
///
/// The test executable defines the calls, and its symbols take precedence over those of the C library. Each
/// call goes to the definition here first, which forwards it to the library unless a fault is armed for it. A
/// filter by port excludes the test's own peers in the same process. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>

namespace mothring::test {

enum class SystemCall { accept, socket, connect, poll, epoll_wait, receive, send };

/// Selects sockets by port; 0 matches any port. A call without a socket matches only `{}`.
struct Ports {
    std::uint16_t local = 0;
    std::uint16_t peer = 0;
};

/// Arms faults. Its destruction disarms them and clears the counts. Only one object may exist at a time.
class SystemCallFaults {
public:
    SystemCallFaults();
    ~SystemCallFaults();
    SystemCallFaults(const SystemCallFaults&) = delete;
    SystemCallFaults& operator=(const SystemCallFaults&) = delete;

    /// Makes the next `times` matching calls fail with that value of errno and without any other effect.
    /// Replaces the fault that was armed for that call; 0 `times` disarms it.
    void fail(SystemCall call, int error, int times = 1, Ports ports = {});
    /// Limits each matching call to that many bytes. Replaces the fault that was armed for that call.
    void limit_bytes(SystemCall receive_or_send, std::size_t most_bytes, Ports ports = {});

    /// Returns how many calls the fault armed last has made fail.
    int failure_count(SystemCall call) const;
    /// Returns how many calls have matched the filter of the fault armed last.
    int call_count(SystemCall call) const;
    /// Returns how many calls of poll() would have blocked without a time-out. They are interrupted instead.
    int unbounded_wait_count() const;
};

}  // namespace mothring::test
