/// @file
/// A retry budget: limits retries to a share of the requests that arrive.
#pragma once

#include <algorithm>

namespace mothring {

/// Limits the retries of all requests together. Without the budget each request would make as many attempts
/// as Settings::max_attempts allows at an overloaded pool.
class RetryBudget {
public:
    /// Adds the credit of a request that has arrived.
    void deposit() { balance_ = std::min(balance_ + kRetriesPerRequest, kMaxBurst); }
    /// Removes the credit of a retry that is sent.
    void withdraw() { balance_ -= 1; }
    bool is_exhausted() const { return balance_ < 1; }

private:
    static constexpr double kRetriesPerRequest = 0.2;
    static constexpr double kMaxBurst = 10;

    double balance_ = kMaxBurst;
};

}  // namespace mothring
