/// @file
/// Means and sums in which older samples count less.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "mothring/types.hpp"
#include "parameters.hpp"

namespace mothring {

/// What is left at `now` of a weight of 1 at `since`, with exponential decay.
inline double decay(Millis since, Millis now, Millis time_constant) {
    return std::exp((since - now) / time_constant);
}

/// A mean of about the last `samples`; where they are rare, of those within the time constant.
class DecayingMean {
public:
    explicit DecayingMean(double initial = 0) : value_(initial) {}

    double value() const { return value_; }

    void add(double sample, Millis now, double samples, Millis time_constant) {
        const double weight = std::max(1 / samples, 1 - decay(updated_at_, now, time_constant));
        value_ += (sample - value_) * weight;
        updated_at_ = now;
    }

private:
    double value_;
    Millis updated_at_ = kLongAgo;
};

/// A decaying mean that knows its standard error.
class MeanWithError {
public:
    explicit MeanWithError(double samples) : samples_(samples) {}

    double value() const { return mean_.value(); }

    /// When a sample last came with enough others before it.
    Millis known_at() const { return known_at_; }

    void add(double sample, Millis now, Millis time_constant) {
        ++count_;
        const double weighed = std::min(samples_, count_);  // the first few weigh alike
        mean_.add(sample, now, weighed, time_constant);
        squares_.add(sample * sample, now, weighed, time_constant);
        if (count_ >= samples_) known_at_ = now;
    }

    /// The standard error; infinite until there are enough samples, as a mean of one shows no scatter.
    double error() const {
        if (count_ < samples_) return std::numeric_limits<double>::infinity();
        const double variance = std::max(0.0, squares_.value() - value() * value());
        return std::sqrt(variance / (2 * samples_ - 1));
    }

private:
    double samples_;
    DecayingMean mean_;
    DecayingMean squares_;
    double count_ = 0;
    Millis known_at_ = kLongAgo;
};

/// A sum whose amounts lose their weight exponentially.
class DecayingSum {
public:
    explicit DecayingSum(Millis time_constant) : time_constant_(time_constant) {}

    /// As of the last amount added.
    double value() const { return value_; }

    double value_at(Millis now) const {
        return value_ > 0 ? value_ * decay(updated_at_, now, time_constant_) : 0;
    }

    void add(double amount, Millis now) {
        value_ = value_at(now) + amount;
        updated_at_ = now;
    }

private:
    Millis time_constant_;
    double value_ = 0;
    Millis updated_at_ = 0;
};

}  // namespace mothring
