/// @file
/// How many retries are allowed for the requests that arrive.
#pragma once

#include <algorithm>

namespace mothring {

/// Without it each request would ask a crowded pool as often as the limits allow.
class RetryBudget {
public:
    /// A request has arrived.
    void deposit() { balance_ = std::min(balance_ + kRetriesPerRequest, kMaxBurst); }
    /// A retry is sent.
    void withdraw() { balance_ -= 1; }
    bool is_exhausted() const { return balance_ < 1; }

private:
    static constexpr double kRetriesPerRequest = 0.2;
    static constexpr double kMaxBurst = 10;

    double balance_ = kMaxBurst;
};

}  // namespace mothring
