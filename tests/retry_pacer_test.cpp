// Tests which failed calls are retried immediately and which after a pause.
#include "net/retry_pacer.hpp"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <optional>

namespace mothring::net::test {
namespace {

namespace asio = boost::asio;

constexpr Millis kPause = 5;
constexpr int kFailuresBeforePause = 16;

struct RetryPacerTest : testing::Test {
    asio::io_context io;
    std::optional<RetryPacer> pacer;
    int resumed = 0;

    RetryPacerTest() { pacer.emplace(io, kPause); }
    /// Returns how many consecutive failures lead to a pause.
    int failures_until_pause(boost::system::error_code failed) {
        int failures = 1;
        while (!pacer->must_pause_after(failed) && failures < 100) ++failures;
        return failures;
    }
    void pause() {
        pacer->pause([this] { ++resumed; });
    }
};

TEST_F(RetryPacerTest, RetriesFailureOfOneConnectionImmediately) {
    EXPECT_FALSE(pacer->must_pause_after(asio::error::connection_aborted));
}

TEST_F(RetryPacerTest, PausesImmediatelyOnResourceShortage) {
    for (const int shortage : {EMFILE, ENFILE, ENOBUFS, ENOMEM})
        EXPECT_TRUE(pacer->must_pause_after({shortage, boost::system::system_category()})) << shortage;
}

TEST_F(RetryPacerTest, PausesAfterConsecutiveFailures) {
    EXPECT_EQ(failures_until_pause(asio::error::connection_aborted), kFailuresBeforePause);
    EXPECT_EQ(failures_until_pause(asio::error::connection_aborted), kFailuresBeforePause)
        << "the count starts again after a pause";
}

TEST_F(RetryPacerTest, SuccessResetsFailureCount) {
    for (int failures = 1; failures < kFailuresBeforePause; ++failures)
        EXPECT_FALSE(pacer->must_pause_after(asio::error::connection_aborted));
    pacer->on_success();
    EXPECT_EQ(failures_until_pause(asio::error::connection_aborted), kFailuresBeforePause);
}

TEST_F(RetryPacerTest, ResumesOnceAfterThePause) {
    const auto began = std::chrono::steady_clock::now();
    pause();
    EXPECT_EQ(resumed, 0);
    io.run();
    EXPECT_EQ(resumed, 1);
    EXPECT_GE(std::chrono::steady_clock::now() - began, to_duration(kPause));
}

TEST_F(RetryPacerTest, SecondPauseReplacesFirst) {
    pause();
    pause();
    io.run();
    EXPECT_EQ(resumed, 1);
}

TEST_F(RetryPacerTest, DoesNotResumeAfterCancellationOrDestruction) {
    pause();
    pacer->cancel();
    io.run();
    EXPECT_EQ(resumed, 0);
    pause();
    pacer.reset();
    io.restart();
    io.run();
    EXPECT_EQ(resumed, 0);
}

}  // namespace
}  // namespace mothring::net::test
