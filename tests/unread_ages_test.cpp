// Tests of UnreadAges with time points that the tests choose.
#include "node/unread_ages.hpp"

#include <gtest/gtest.h>

namespace mothring::node::downstream {
namespace {

struct UnreadAgesTest : testing::Test {
    std::size_t unread = 0;  // bytes
    int counts = 0;
    UnreadAges ages{[this] {
        ++counts;
        return unread;
    }};

    static UnreadAges::TimePoint at(int milliseconds) {
        return UnreadAges::TimePoint{} + std::chrono::milliseconds(milliseconds);
    }
};

TEST_F(UnreadAgesTest, NoBytesAreUnreadInitially) {
    EXPECT_FALSE(ages.has_unread());
    EXPECT_EQ(ages.age(at(100)), 0);
    ages.note_read(10, at(100));
    EXPECT_FALSE(ages.has_unread());
    EXPECT_EQ(counts, 0);
}

TEST_F(UnreadAgesTest, AgeCountsFromFirstUnreadBytes) {
    unread = 10;
    ages.note_unread(at(100));
    ages.note_unread(at(150));
    EXPECT_TRUE(ages.has_unread());
    EXPECT_EQ(ages.age(at(180)), 80);
    EXPECT_EQ(counts, 1);
}

TEST_F(UnreadAgesTest, CountedBytesKeepTheirAge) {
    unread = 10;
    ages.note_unread(at(100));
    ages.note_read(4, at(200));
    ages.note_read(6, at(300));
    EXPECT_EQ(ages.age(at(300)), 200);
    EXPECT_EQ(counts, 1);
}

// Bytes beyond the count arrived after it, and so did all bytes behind them that are unread at that time.
TEST_F(UnreadAgesTest, BytesBeyondCountAreAsOldAsCount) {
    unread = 10;
    ages.note_unread(at(100));
    ages.note_read(10, at(200));
    unread = 5;
    ages.note_read(3, at(300));
    EXPECT_EQ(ages.age(at(300)), 200);
    EXPECT_EQ(counts, 2);
    ages.note_read(5, at(400));
    EXPECT_EQ(ages.age(at(400)), 300);
    ages.note_read(1, at(500));
    EXPECT_EQ(ages.age(at(500)), 200);
    EXPECT_EQ(counts, 3);
}

TEST_F(UnreadAgesTest, ReadOfNoBytesKeepsAge) {
    ages.note_unread(at(100));
    ages.note_read(0, at(200));
    EXPECT_EQ(ages.age(at(200)), 100);
    EXPECT_EQ(counts, 1);
}

TEST_F(UnreadAgesTest, AgeRestartsAfterAllBytesAreRead) {
    ages.note_unread(at(100));
    ages.note_all_read();
    EXPECT_FALSE(ages.has_unread());
    EXPECT_EQ(ages.age(at(200)), 0);
    ages.note_unread(at(300));
    EXPECT_EQ(ages.age(at(350)), 50);
    EXPECT_EQ(counts, 2);
}

}  // namespace
}  // namespace mothring::node::downstream
