/// @file
/// The outcomes of a server's last attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "parameters.hpp"

namespace mothring {

/// A sliding window over the last kWindowSize outcomes.
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

    /// The success rate of one class; 0 where it has no outcome in the window.
    double success_rate_of(std::uint32_t class_index) const {
        return success_rate(1, [=](const Result& result) { return result.class_index == class_index; });
    }

    /// The success rate of all classes but one; 0 where they have fewer than `least` outcomes in the window.
    double success_rate_without(std::uint32_t class_index, double least) const {
        return success_rate(least, [=](const Result& result) { return result.class_index != class_index; });
    }

private:
    struct Result {
        std::uint32_t class_index;
        bool success;
    };

    double success_rate(double least, const auto& counts) const {
        double successes = 0;
        double all = 0;
        for (const Result& result : results_) {
            if (!counts(result)) continue;
            ++all;
            successes += result.success;
        }
        return all >= least ? successes / all : 0;
    }

    std::deque<Result> results_;
};

}  // namespace mothring
