// Unit tests of the sidecar's small classes.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/clock.hpp"
#include "node/in_flight_requests.hpp"
#include "node/lifetime_guard.hpp"
#include "node/overdue_sweep.hpp"
#include "node/request_table.hpp"
#include "node/resource_limits.hpp"
#include "node/timer_queue.hpp"

namespace mothring::node::test {
namespace {

struct EventLoopParts : testing::Test {
    boost::asio::io_context io;
    net::Clock clock;
};

TEST_F(EventLoopParts, AttemptDeadlinesAreReportedBeforeTimersOfSameTime) {
    std::vector<std::string> due;
    TimerQueue timers(io, clock, [&](const TimerQueue::Entry& entry) {
        const auto* const token = std::get_if<TimerToken>(&entry);
        due.push_back(token != nullptr
                          ? "timer " + std::to_string(*token)
                          : "attempt " + std::to_string(std::get<AttemptDeadline>(entry).attempt));
    });
    const Millis now = clock.now();
    timers.add(now + 2, TimerToken{1});
    timers.add(now + 1, TimerToken{2});
    timers.add(now + 1, AttemptDeadline{1, 0});
    timers.add(now + 1, TimerToken{3});
    timers.add(now + 1, AttemptDeadline{1, 1});
    timers.arm();
    io.run();
    EXPECT_EQ(due, (std::vector<std::string>{"attempt 0", "attempt 1", "timer 2", "timer 3", "timer 1"}));
}

TEST_F(EventLoopParts, GuardedHandlerDoesNothingAfterGuardIsDestroyed) {
    int calls = 0;
    std::optional<LifetimeGuard> guard(std::in_place);
    const auto handler = guard->while_alive([&] { ++calls; });
    handler({});
    handler(boost::asio::error::operation_aborted);
    EXPECT_EQ(calls, 1);
    guard.reset();
    handler({});
    EXPECT_EQ(calls, 1);
}

TEST_F(EventLoopParts, SweepTimesOutOverdueRequestsHeldAtFailure) {
    RequestTable requests;
    std::vector<RequestId> timed_out;
    OverdueSweep sweep(io, clock, requests, [&](RequestId id) {
        timed_out.push_back(id);
        requests.find(id)->has_ended = true;
        requests.forget_if_done(id);
    });
    requests.add(1).deadline = clock.now();
    requests.add(2).has_ended = true;
    Request& streaming = requests.add(3);
    streaming.deadline = clock.now();
    streaming.attempts.push_back({0, 1, clock.now(), true, clock.now()});
    sweep.watch_all();
    requests.add(4).deadline = clock.now();
    sweep.schedule();
    io.run();  // Returns when no watched request is left.
    EXPECT_EQ(timed_out, std::vector<RequestId>{1});
    EXPECT_EQ(requests.size(), 3U);
}

TEST(RequestTable, RequestIsErasedOnlyAfterItAndItsAttemptsHaveEnded) {
    RequestTable requests;
    requests.add(1).attempts.push_back({});
    requests.forget_if_done(1);
    EXPECT_NE(requests.find_open(1), nullptr);
    requests.find(1)->has_ended = true;
    requests.forget_if_done(1);
    EXPECT_EQ(requests.find_open(1), nullptr);
    ASSERT_NE(requests.find(1), nullptr);
    requests.find(1)->attempts.front().in_flight = false;
    requests.forget_if_done(1);
    EXPECT_EQ(requests.find(1), nullptr);
    requests.forget_if_done(1);
    EXPECT_EQ(requests.size(), 0U);
}

TEST(InFlightRequests, EachRequestIsCountedOnceByItsOutcome) {
    Metrics metrics({"listen"});
    InFlightRequests in_flight(metrics);
    for (const RequestId id : {1, 2, 3}) in_flight.add(id, 0);
    in_flight.set_outcome(1, 0, outcome_of_status(200));
    in_flight.set_outcome(2, 0, outcome_of_status(503));
    in_flight.set_outcome(3, 0, outcome_of_status(200));
    EXPECT_EQ(in_flight.size(), 3U);
    for (const RequestId id : {1, 2, 1}) in_flight.complete(id, true);
    in_flight.complete(3, false);
    EXPECT_TRUE(in_flight.empty());
    EXPECT_EQ(metrics.classes.front().served, 1U);
    EXPECT_EQ(metrics.classes.front().rejected, 1U);
    EXPECT_EQ(metrics.classes.front().failed, 1U);
}

TEST(ResourceLimits, OverlappingProcessUsesHalfOfItsLimits) {
    ResourceLimits limits(1024, 192);
    EXPECT_EQ(limits.connections_per_side(), 500U);
    EXPECT_EQ(limits.buffer_bytes(), 48U << 20);
    limits.set_halved(true);
    EXPECT_EQ(limits.connections_per_side(), 244U);
    EXPECT_EQ(limits.buffer_bytes(), 24U << 20);
    EXPECT_EQ(ResourceLimits(10, 192).connections_per_side(), 4U);
}

}  // namespace
}  // namespace mothring::node::test
