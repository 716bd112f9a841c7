// Tests of BodyArrival with time points that the tests choose.
#include "node/body_arrival.hpp"

#include <gtest/gtest.h>

namespace mothring::node::downstream {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kClientBuffer = BodyArrival::kMaxClientBuffer;

std::optional<BodyArrival::TimePoint> at(int milliseconds) {
    return BodyArrival::TimePoint{} + std::chrono::milliseconds(milliseconds);
}

TEST(BodyArrival, EndCannotBeWrittenWhileMoreIsMissingThanClientBuffers) {
    BodyArrival arrival;
    arrival.start(0, kClientBuffer + 2 * kMegabyte);
    arrival.note_unread(kMegabyte, *at(100));
    EXPECT_EQ(arrival.earliest_end(), std::nullopt);
    arrival.note_unread(2 * kMegabyte, *at(200));
    EXPECT_EQ(arrival.earliest_end(), at(200));
}

TEST(BodyArrival, LaterArrivalsDoNotChangeWhenEndMayHaveBeenWritten) {
    BodyArrival arrival;
    arrival.start(10, 2 * kMegabyte);
    arrival.note_unread(5, *at(100));
    arrival.note_unread(kMegabyte, *at(200));
    arrival.note_read(kMegabyte);
    arrival.note_unread(kMegabyte - 10, *at(300));
    EXPECT_EQ(arrival.earliest_end(), at(100));
}

TEST(BodyArrival, NothingWaitsInClientOnceAllIsRead) {
    BodyArrival arrival;
    arrival.start(10, 2 * kMegabyte);
    arrival.note_unread(5, *at(100));
    arrival.note_read(5);
    arrival.note_all_read();
    EXPECT_EQ(arrival.earliest_end(), std::nullopt);
    arrival.note_unread(5, *at(300));
    EXPECT_EQ(arrival.earliest_end(), at(300));
}

TEST(BodyArrival, EndOfBodyOfUnknownLengthMayBeWrittenSoonAfterWhatHasArrived) {
    BodyArrival arrival;
    arrival.start(0, std::nullopt);
    for (int i = 1; i <= 100; ++i) {
        arrival.note_unread(kMegabyte, *at(100 * i));
        arrival.note_read(kMegabyte);
    }
    constexpr int kBufferedMegabytes = kClientBuffer / kMegabyte;
    EXPECT_EQ(arrival.earliest_end(), at(100 * (100 - kBufferedMegabytes)));
}

TEST(BodyArrival, EachBodyStartsAnew) {
    BodyArrival arrival;
    arrival.start(1000, 2000);
    arrival.note_unread(5, *at(100));
    arrival.start(10, 2000);
    EXPECT_EQ(arrival.earliest_end(), std::nullopt);
    arrival.note_unread(5, *at(200));
    EXPECT_EQ(arrival.earliest_end(), at(200));
}

}  // namespace
}  // namespace mothring::node::downstream
