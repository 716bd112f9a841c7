/// @file
/// Lifeguard's local health multiplier (4.1): a measure of how likely missing answers are the fault of this
/// process, rather than of the members that do not answer.
#pragma once

#include <algorithm>

#include "mothring/balancer.hpp"

namespace mothring::cluster {

/// The local health score. Missed answers and suspicions of this member raise it, and answered probes lower
/// it.
class LocalHealth {
public:
    explicit LocalHealth(unsigned max_score) : max_score_(static_cast<int>(max_score)) {}

    /// Adds to the score, which is clamped to 0 and the maximum.
    void adjust(int change) { score_ = std::clamp(score_ + change, 0, max_score_); }
    /// Returns the score; 0 is the best.
    unsigned score() const { return static_cast<unsigned>(score_); }
    /// Returns the factor for the interval and the timeout of probes.
    Millis multiplier() const { return 1 + score_; }

private:
    int max_score_;
    int score_ = 0;
};

}  // namespace mothring::cluster
