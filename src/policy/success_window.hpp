/// @file
/// A sliding window of the outcomes of a server's last attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "parameters.hpp"

namespace mothring {

/// Stores whether each of the last kWindowSize attempts succeeded, and computes success rates from them.
class SuccessWindow {
public:
    void add(std::uint32_t class_index, bool success) {
        results_.push_back({class_index, success});
        if (results_.size() > kWindowSize) results_.pop_front();
    }

    void clear() { results_.clear(); }

    std::size_t size() const { return results_.size(); }
    bool is_full() const { return results_.size() >= kWindowSize; }

    double successes() const {
        return static_cast<double>(std::count_if(results_.begin(), results_.end(),
                                                 [](const Result& result) { return result.success; }));
    }

    /// Returns the success rate of one class, or 0 if the window has no outcome of the class.
    double success_rate_of(std::uint32_t class_index) const {
        return success_rate(1, [=](const Result& result) { return result.class_index == class_index; });
    }

    /// Returns the success rate of all classes but one, or 0 if the window has fewer than `min_outcomes`
    /// outcomes of them.
    double success_rate_without(std::uint32_t class_index, double min_outcomes) const {
        return success_rate(min_outcomes,
                            [=](const Result& result) { return result.class_index != class_index; });
    }

private:
    struct Result {
        std::uint32_t class_index;
        bool success;
    };

    double success_rate(double min_outcomes, const auto& is_counted) const {
        double successes = 0;
        double outcomes = 0;
        for (const Result& result : results_) {
            if (!is_counted(result)) continue;
            ++outcomes;
            successes += result.success;
        }
        return outcomes >= min_outcomes ? successes / outcomes : 0;
    }

    std::deque<Result> results_;
};

}  // namespace mothring
