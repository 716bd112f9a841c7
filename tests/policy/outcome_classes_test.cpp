/// @file
/// Tests of the classification of attempt outcomes.
#include "outcome_classes.hpp"

#include <gtest/gtest.h>

namespace mothring::test {
namespace {

struct Expectation {
    Outcome outcome;
    bool attributable_to_server;
    bool never_ran;
    bool response;
    bool may_mean_departure;
};

constexpr Expectation kExpectations[] = {
    {Outcome::completed, true, false, true, false},
    {Outcome::failed, true, false, true, false},
    {Outcome::overloaded, true, true, true, true},
    {Outcome::timed_out, true, false, false, false},
    {Outcome::connection_lost, true, false, false, true},
    {Outcome::connect_failed, true, true, false, true},
    {Outcome::not_sent, false, true, false, false},
    {Outcome::invalid_request, false, false, false, false},
    {Outcome::cancelled, false, false, false, false},
};

TEST(OutcomeClasses, MatchTheExpectationForEachOutcome) {
    const Settings settings;
    for (const Expectation& expected : kExpectations) {
        SCOPED_TRACE(static_cast<int>(expected.outcome));
        EXPECT_EQ(is_attributable_to_server(expected.outcome), expected.attributable_to_server);
        EXPECT_EQ(proves_never_ran(expected.outcome, settings), expected.never_ran);
        EXPECT_EQ(is_response(expected.outcome), expected.response);
        EXPECT_EQ(may_mean_departure(expected.outcome), expected.may_mean_departure);
    }
}

}  // namespace
}  // namespace mothring::test
