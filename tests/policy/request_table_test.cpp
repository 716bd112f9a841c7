/// @file
/// The table of requests, the queue of those that wait for capacity, and the timers.
#include "request_table.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace mothring::test {
namespace {

TEST(RequestTable, ErasesAFinishedRequestOnceNoAttemptIsInFlight) {
    RequestTable table;
    Request* const request = table.add(1);
    request->has_final_answer = true;
    request->attempts.emplace_back();
    table.mark_finished(1);
    table.forget_finished();
    EXPECT_EQ(table.size(), 1U) << "an attempt is in flight";
    request->attempts.front().in_flight = false;
    table.forget_finished();
    EXPECT_EQ(table.size(), 1U) << "erased only after it is marked again";
    table.mark_finished(1);
    table.forget_finished();
    EXPECT_EQ(table.size(), 0U);
}

TEST(RequestTable, ReturnsWaitingRequestsByWeightThenNewestFirst) {
    RequestTable table;
    for (const RequestId id : {1, 2, 3, 4, 5}) {
        table.add(id);
        table.enqueue(id);
    }
    table.find(2)->request_class.priority_weight = 9;
    table.find(3)->has_final_answer = true;
    table.find(4)->attempts.emplace_back();
    table.enqueue(6);  // not known
    EXPECT_TRUE(table.has_waiting());
    EXPECT_EQ(table.take_waiting(), (std::vector<RequestId>{2, 5, 1}));
    EXPECT_FALSE(table.has_waiting());
}

TEST(RequestTable, ReturnsATimerOnce) {
    RequestTable table;
    const TimerToken of_request = table.add_timer(5);
    const TimerToken of_discovery = table.add_timer(std::nullopt);
    EXPECT_NE(of_request, of_discovery);
    EXPECT_EQ(table.timers(), 2U);
    const std::optional<RequestTable::Timer> request_timer = table.take_timer(of_request);
    ASSERT_TRUE(request_timer);
    EXPECT_EQ(request_timer->request, 5U);
    const std::optional<RequestTable::Timer> discovery_timer = table.take_timer(of_discovery);
    ASSERT_TRUE(discovery_timer);
    EXPECT_FALSE(discovery_timer->request);
    EXPECT_FALSE(table.take_timer(of_request)) << "the timer has fired already";
    EXPECT_EQ(table.timers(), 0U);
}

}  // namespace
}  // namespace mothring::test
