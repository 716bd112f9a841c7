// The deadlines by which a client must send a request, with times given by the tests.
#include "node/request_timeouts.hpp"

#include <gtest/gtest.h>

namespace mothring::node::downstream {
namespace {

using TimePoint = RequestTimeouts::TimePoint;

TimePoint at(int milliseconds) { return TimePoint{} + std::chrono::milliseconds(milliseconds); }

TEST(RequestTimeouts, TimeLimitOfFirstRequestCountsFromConnection) {
    RequestTimeouts timeouts;
    EXPECT_FALSE(timeouts.awaits_first_request());
    EXPECT_EQ(timeouts.on_connected(at(1000)), at(3400));
    EXPECT_TRUE(timeouts.awaits_first_request());
    EXPECT_EQ(timeouts.start_head(at(2000)), at(3400));
}

TEST(RequestTimeouts, TimeLimitOfLaterRequestCountsFromFirstByte) {
    RequestTimeouts timeouts;
    timeouts.on_connected(at(1000));
    timeouts.note_first_request();
    EXPECT_FALSE(timeouts.awaits_first_request());
    EXPECT_EQ(timeouts.start_head(at(5000)), at(7400));
}

TEST(RequestTimeouts, SmallBodyInPiecesHasTimeLimitOfItsRequest) {
    RequestTimeouts timeouts;
    timeouts.start_head(at(0));
    timeouts.start_body(0);
    EXPECT_EQ(timeouts.body_deadline(at(100)), at(2400));
    timeouts.note_received(32);
    EXPECT_EQ(timeouts.body_deadline(at(1000)), at(2400));
    EXPECT_EQ(timeouts.body_deadline(at(2300)), at(2401));
}

TEST(RequestTimeouts, LargeBodyTimesOutAfterLongPause) {
    RequestTimeouts timeouts;
    timeouts.start_head(at(0));
    timeouts.start_body(1000000);
    EXPECT_EQ(timeouts.body_deadline(at(2000)), at(2700));
    EXPECT_EQ(timeouts.body_deadline(at(4000)), at(4700));
}

TEST(RequestTimeouts, LargeBodyTimesOutBelowMinimumRate) {
    RequestTimeouts timeouts;
    timeouts.start_head(at(0));
    timeouts.start_body(3200);
    EXPECT_EQ(timeouts.body_deadline(at(2000)), at(2500));
    timeouts.note_received(3200);
    EXPECT_EQ(timeouts.body_deadline(at(2000)), at(2600));
    EXPECT_EQ(timeouts.body_deadline(at(2600)), at(2600));
}

TEST(RequestTimeouts, TimeLimitOfBodyRestartsWhenBufferHasSpaceAgain) {
    RequestTimeouts timeouts;
    timeouts.start_head(at(0));
    timeouts.start_body(1000000);
    timeouts.resume_body(at(9000));
    EXPECT_EQ(timeouts.body_deadline(at(9000)), at(11400));
}

}  // namespace
}  // namespace mothring::node::downstream
