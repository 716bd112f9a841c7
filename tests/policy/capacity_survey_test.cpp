/// @file
/// The count of warm servers and the rates at which they complete attempts.
#include "capacity_survey.hpp"

#include <gtest/gtest.h>

#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

constexpr Millis kNow = 100000;

/// A survey of servers 1 to 4, which are in zones 1, 2, 0 and 1. Those with odd identifiers are of kind 1,
/// the others of kind 0.
class CapacitySurveyOfFour : public testing::Test {
protected:
    CapacitySurveyOfFour() { list(make_servers(4)); }

    void list(const std::vector<EndpointInfo>& infos) {
        for (const EndpointInfo& info : infos) endpoints.update(info);
        endpoints.update_indexes({ListKind::full, infos}, kNow);
        survey.invalidate();
    }

    void complete(ServerId server, int attempts) {
        for (int i = 0; i < attempts; ++i) endpoints.record_completion(endpoints.at(server), kNow);
    }

    const Settings settings = make_settings();
    EndpointSet endpoints{settings};
    OutlierDetector outliers{settings, endpoints};
    ZoneHealth zones;
    CapacitySurvey survey{endpoints, outliers, zones};
};

TEST_F(CapacitySurveyOfFour, MeasuresCompletionRateOfWarmServersByKind) {
    complete(1, 10);
    complete(2, 30);
    EXPECT_TRUE(survey.refresh(kNow));
    EXPECT_EQ(survey.warm_in_pool(), 4);
    EXPECT_DOUBLE_EQ(survey.rate(), 40.0 / 4 / kRateWindow);
    EXPECT_DOUBLE_EQ(survey.rate_of(1).value_or(0), 10.0 / 2 / kRateWindow);
    EXPECT_DOUBLE_EQ(survey.rate_of(0).value_or(0), 30.0 / 2 / kRateWindow);
    EXPECT_FALSE(survey.rate_of(9)) << "no server of this kind";
}

TEST_F(CapacitySurveyOfFour, IsRefreshedAfterItsIntervalOrWhenInvalidated) {
    EXPECT_TRUE(survey.refresh(kNow));
    complete(1, 10);
    EXPECT_FALSE(survey.refresh(kNow + 99));
    EXPECT_EQ(survey.rate(), 0);
    EXPECT_TRUE(survey.refresh(kNow + 100));
    EXPECT_GT(survey.rate(), 0);
    EXPECT_FALSE(survey.refresh(kNow + 100));
    survey.invalidate();
    EXPECT_TRUE(survey.refresh(kNow + 100));
}

TEST_F(CapacitySurveyOfFour, ExcludesServersThatAreWarmingUp) {
    std::vector<EndpointInfo> infos = make_servers(4);
    infos[0].started_at = kNow;
    infos[2].started_at = kNow;
    list(infos);
    complete(1, 10);
    complete(2, 30);
    survey.refresh(kNow);
    EXPECT_EQ(survey.warm_in_pool(), 2);
    EXPECT_DOUBLE_EQ(survey.rate(), 30.0 / 2 / kRateWindow);
    EXPECT_FALSE(survey.rate_of(1)) << "no server of this kind is warm";
}

}  // namespace
}  // namespace mothring::test
