/// @file
/// Tests of the limit on retries.
#include "retry_budget.hpp"

#include <cstddef>

#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

/// Withdraws retries until the budget is exhausted, and returns their number.
int withdraw_all(RetryBudget& budget) {
    int retries = 0;
    while (!budget.is_exhausted()) {
        budget.withdraw();
        ++retries;
    }
    return retries;
}

TEST(RetryBudget, LimitsRetriesAtAnOverloadedPool) {
    PolicyHarness harness(make_settings());
    harness.deliver_list(ListKind::full, make_servers(8));
    std::size_t attempts = 0;
    for (int i = 0; i < 300; ++i) {
        const RequestId id = harness.start_request();
        while (harness.is_in_flight(id)) harness.end_attempt(id, Outcome::overloaded, 1);
        attempts += harness.attempts_of(id);
    }
    EXPECT_LT(attempts, 300 * 1.25 + 10);
}

TEST(RetryBudget, AllowsABurstAndThenOneRetryPerFiveRequests) {
    RetryBudget budget;
    EXPECT_EQ(withdraw_all(budget), 10);
    for (int i = 0; i < 4; ++i) budget.deposit();
    EXPECT_TRUE(budget.is_exhausted());
    for (int i = 0; i < 2; ++i) budget.deposit();
    EXPECT_EQ(withdraw_all(budget), 1);
}

}  // namespace
}  // namespace mothring::test
