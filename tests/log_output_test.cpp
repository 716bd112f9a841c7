// Tests the output of the log if standard error can't be reopened.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string_view>

#include "net/log.hpp"
#include "net_rig.hpp"
#include "system_call_faults.hpp"

namespace mothring::node::test {
namespace {

using mothring::test::SystemCall;
using mothring::test::SystemCallFaults;

#ifndef __SANITIZE_ADDRESS__
/// Logs one line into a pipe that the log has to poll, as there is no descriptor to reopen it, while a signal
/// interrupts the poll. Replaces standard error. Returns whether the line was written.
bool logs_through_interrupted_poll() {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_NONBLOCK) != 0 || ::dup2(ends[1], STDERR_FILENO) < 0) return false;
    SystemCallFaults faults;
    faults.fail(SystemCall::poll, EINTR, 1);
    {
        const DescriptorExhaustion none;
        net::log(spdlog::level::warn, "test.line");
    }
    std::array<char, 256> piece{};
    const ssize_t size = ::read(ends[0], piece.data(), piece.size());
    const std::string_view text(piece.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    return faults.failure_count(SystemCall::poll) == 1 && text.find("test.line") != std::string_view::npos;
}

// Runs in a separate process in which nothing has been logged before. Excluded from sanitized builds: without
// descriptors their check of virtual tables reports valid objects as faults (see Starting in
// system_call_test.cpp).
TEST(LogOutput, InterruptedPollLosesNoLine) {
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(::_exit(logs_through_interrupted_poll() ? 0 : 1), testing::ExitedWithCode(0), "");
}
#endif

}  // namespace
}  // namespace mothring::node::test
