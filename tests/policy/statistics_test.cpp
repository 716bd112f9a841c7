/// @file
/// Exponentially decaying means and sums.
#include "statistics.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace mothring::test {
namespace {

constexpr Millis kTimeConstant = 1000;

TEST(Decay, IsOneAtFirstAndOneOverEAfterATimeConstant) {
    EXPECT_EQ(decay(5000, 5000, kTimeConstant), 1);
    EXPECT_DOUBLE_EQ(decay(5000, 5000 + kTimeConstant, kTimeConstant), std::exp(-1));
    EXPECT_EQ(decay(kLongAgo, 0, kTimeConstant), 0);
}

TEST(DecayingMean, StartsWithItsInitialValueWhichTheFirstSampleReplaces) {
    DecayingMean mean(7);
    EXPECT_EQ(mean.value(), 7);
    mean.add(3, 100, 10, kTimeConstant);
    EXPECT_EQ(mean.value(), 3);
}

TEST(DecayingMean, WeighsRareSamplesByTheTimeBetweenThem) {
    DecayingMean mean;
    mean.add(0, 100, 10, kTimeConstant);
    mean.add(1, 100 + kTimeConstant, 10, kTimeConstant);
    EXPECT_DOUBLE_EQ(mean.value(), 1 - std::exp(-1));
}

TEST(MeanWithError, HasInfiniteErrorUntilItHasEnoughSamples) {
    MeanWithError mean(3);
    for (const Millis now : {1, 2}) {
        mean.add(5, now, kTimeConstant);
        EXPECT_TRUE(std::isinf(mean.error()));
        EXPECT_EQ(mean.known_at(), kLongAgo);
    }
    mean.add(5, 3, kTimeConstant);
    EXPECT_EQ(mean.error(), 0) << "equal samples have no variance";
    EXPECT_EQ(mean.known_at(), 3);
}

TEST(DecayingSum, StartsAtZeroAndDecaysBetweenAdditions) {
    DecayingSum sum(kTimeConstant);
    EXPECT_EQ(sum.value_at(kTimeConstant), 0);
    sum.add(2, 500);
    sum.add(2, 500);
    EXPECT_EQ(sum.value(), 4);
    EXPECT_DOUBLE_EQ(sum.value_at(500 + kTimeConstant), 4 * std::exp(-1));
    EXPECT_EQ(sum.value(), 4) << "the value at the last addition";
    sum.add(1, 500 + kTimeConstant);
    EXPECT_DOUBLE_EQ(sum.value(), 4 * std::exp(-1) + 1);
}

}  // namespace
}  // namespace mothring::test
