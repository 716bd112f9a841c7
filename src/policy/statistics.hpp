/// @file
/// Exponentially decaying means and sums.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "mothring/types.hpp"
#include "parameters.hpp"

namespace mothring {

/// Returns the weight at `now` of a sample that had weight 1 at `since`, with exponential decay.
inline double decay(Millis since, Millis now, Millis time_constant) {
    return std::exp((since - now) / time_constant);
}

/// An exponentially decaying mean. It averages over about the last `samples` samples or, if fewer arrive
/// within the time constant, over those that do.
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

/// A decaying mean with its standard error.
class MeanWithError {
public:
    explicit MeanWithError(double samples) : samples_(samples) {}

    double value() const { return mean_.value(); }

    /// Returns the time of the last sample if the mean has enough samples for a standard error, and kLongAgo
    /// if it has too few.
    Millis known_at() const { return known_at_; }

    void add(double sample, Millis now, Millis time_constant) {
        ++count_;
        const double effective_samples = std::min(samples_, count_);  // gives the first samples equal weights
        mean_.add(sample, now, effective_samples, time_constant);
        squares_.add(sample * sample, now, effective_samples, time_constant);
        if (count_ >= samples_) known_at_ = now;
    }

    /// Returns the standard error. It is infinite until there are enough samples, because the variance of
    /// very few samples says nothing (that of a single sample is 0).
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

/// A sum in which the weight of each amount decays exponentially.
class DecayingSum {
public:
    explicit DecayingSum(Millis time_constant) : time_constant_(time_constant) {}

    /// Returns the sum at the time of the last addition.
    double value() const { return value_; }

    /// Returns the sum, decayed until `now`.
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
