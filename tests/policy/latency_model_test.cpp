/// @file
/// Expected relative latencies of servers, from their own responses and from those of comparable servers.
#include "latency_model.hpp"

#include <gtest/gtest.h>

namespace mothring::test {
namespace {

constexpr Millis kNow = 100000;

Endpoint make_endpoint(ZoneId zone, KindId kind) {
    Endpoint endpoint;
    endpoint.info.zone = zone;
    endpoint.info.kind = kind;
    return endpoint;
}

TEST(LatencyModel, ExpectsZeroLatencyOfAnUnknownKind) {
    LatencyModel model;
    EXPECT_EQ(model.expected(make_endpoint(0, 0), kNow), 0);
    EXPECT_EQ(model.lowest_kind_mean(), LatencyModel::kMinRelativeLatency);
}

TEST(LatencyModel, UsesTheMeanOfTheKindInTheZoneThenOfTheKindForAnUnknownServer) {
    LatencyModel model;
    Endpoint slow_zone = make_endpoint(0, 0);
    Endpoint fast_zone = make_endpoint(1, 0);
    model.record(slow_zone, 0.8, kNow);
    model.record(fast_zone, 0.2, kNow);
    EXPECT_DOUBLE_EQ(model.expected(make_endpoint(0, 0), kNow), 0.8);
    EXPECT_DOUBLE_EQ(model.expected(make_endpoint(1, 0), kNow), 0.2);
    const double of_kind = model.expected(make_endpoint(2, 0), kNow);
    EXPECT_GT(of_kind, 0.2);
    EXPECT_LT(of_kind, 0.8);
}

TEST(LatencyModel, WeighsTheServersOwnMeanByItsNumberOfResponses) {
    LatencyModel model;
    Endpoint known = make_endpoint(0, 0);
    Endpoint other = make_endpoint(0, 0);
    model.record(known, 0.2, kNow);
    for (int i = 0; i < 100; ++i) model.record(other, 0.8, kNow);
    const double in_zone = model.expected(make_endpoint(0, 0), kNow);
    known.completed.add(kPriorResponses, kNow);
    EXPECT_DOUBLE_EQ(model.expected(known, kNow), (in_zone + 0.2) / 2) << "equal weights";
}

}  // namespace
}  // namespace mothring::test
