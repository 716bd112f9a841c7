/// @file
/// Lifeguard's local health multiplier (4.1): how much reason this process has to doubt itself, rather than
/// the members that do not answer it.
#pragma once

#include <algorithm>

#include "mothring/balancer.hpp"

namespace mothring::cluster {

/// A score that missed answers and suspicions of this member raise, and answered probes lower.
class LocalHealth {
public:
    explicit LocalHealth(unsigned max_score) : max_score_(static_cast<int>(max_score)) {}

    /// Adds to the score, within 0 and the greatest.
    void adjust(int change) { score_ = std::clamp(score_ + change, 0, max_score_); }
    /// 0: there is no reason for doubt.
    unsigned score() const { return static_cast<unsigned>(score_); }
    /// What the interval and the timeout of probes are multiplied by.
    Millis multiplier() const { return 1 + score_; }

private:
    int max_score_;
    int score_ = 0;
};

}  // namespace mothring::cluster
