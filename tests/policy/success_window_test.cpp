/// @file
/// The sliding window of the outcomes of a server's last attempts.
#include "success_window.hpp"

#include <gtest/gtest.h>

namespace mothring::test {
namespace {

TEST(SuccessWindow, IsFullAtItsSizeAndThenDropsTheOldestOutcome) {
    SuccessWindow window;
    window.add(0, false);
    for (std::size_t i = 1; i < kWindowSize; ++i) {
        EXPECT_FALSE(window.is_full());
        window.add(0, true);
    }
    EXPECT_TRUE(window.is_full());
    EXPECT_EQ(window.successes(), kWindowSize - 1);
    window.add(0, true);
    EXPECT_EQ(window.size(), kWindowSize);
    EXPECT_EQ(window.successes(), kWindowSize) << "the failure has been dropped";
}

TEST(SuccessWindow, ReportsTheRateOfAClassAndOfTheOthers) {
    SuccessWindow window;
    window.add(0, true);
    window.add(0, false);
    for (const bool success : {true, true, true, false}) window.add(1, success);
    EXPECT_DOUBLE_EQ(window.success_rate_of(0), 0.5);
    EXPECT_DOUBLE_EQ(window.success_rate_of(1), 0.75);
    EXPECT_DOUBLE_EQ(window.success_rate_without(0, 4), 0.75);
    EXPECT_EQ(window.success_rate_without(0, 5), 0) << "too few outcomes";
}

}  // namespace
}  // namespace mothring::test
