// Lifeguard's local health multiplier (4.1): how far this process has reason to doubt itself, rather than
// those who do not answer it. Missed answers and being suspected raise it, an answered probe lowers it.
#pragma once

#include <algorithm>

#include "mothring/balancer.hpp"

namespace mothring::cluster {

class LocalHealth {
public:
    // `most`: the greatest score.
    explicit LocalHealth(unsigned most) : most_(static_cast<int>(most)) {}

    // Raises the score by `change`, or lowers it, within 0 and the greatest.
    void adjust(int change) { score_ = std::clamp(score_ + change, 0, most_); }
    // 0: nothing speaks against this process.
    unsigned score() const { return static_cast<unsigned>(score_); }
    // What the interval and the timeout of probes are multiplied by.
    Millis multiplier() const { return 1 + score_; }

private:
    int most_;
    int score_ = 0;
};

}  // namespace mothring::cluster
