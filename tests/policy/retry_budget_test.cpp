/// @file
/// How many retries are sent for the requests that arrive.
#include <cstddef>

#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

TEST(RetryBudget, BoundsTheRetriesAtAFullPool) {
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

}  // namespace
}  // namespace mothring::test
