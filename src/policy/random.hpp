/// @file
/// Pseudo-random numbers that are the same with every standard library, so that equal seeds give equal
/// decisions everywhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mothring {

/// The SplitMix64 generator (Steele, Lea and Flood, 2014).
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}

    /// Returns a number that is uniformly distributed in [0, 1).
    double unit() {
        // Keeps the 53 bits of precision that a double has.
        constexpr int kUnusedBits = 11;
        constexpr double kUnit = 0x1.0p-53;
        return static_cast<double>(next() >> kUnusedBits) * kUnit;
    }

    /// Returns an integer that is uniformly distributed in [0, count).
    std::size_t below(std::size_t count) {
        return static_cast<std::size_t>(unit() * static_cast<double>(count));
    }

private:
    std::uint64_t next() {
        state_ += kIncrement;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> kFirstShift)) * kFirstMultiplier;
        mixed = (mixed ^ (mixed >> kSecondShift)) * kSecondMultiplier;
        return mixed ^ (mixed >> kThirdShift);
    }

    // The constants of the SplitMix64 definition.
    static constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15;
    static constexpr std::uint64_t kFirstMultiplier = 0xbf58476d1ce4e5b9;
    static constexpr std::uint64_t kSecondMultiplier = 0x94d049bb133111eb;
    static constexpr int kFirstShift = 30;
    static constexpr int kSecondShift = 27;
    static constexpr int kThirdShift = 31;

    std::uint64_t state_;
};

/// Returns a random index below `count`. The probability of each index is proportional to `weight(index)`.
std::size_t draw_weighted(Random& random, std::size_t count, const auto& weight) {
    double sum = 0;
    std::vector<double> weights(count);
    for (std::size_t i = 0; i < count; ++i) {
        weights[i] = weight(i);
        sum += weights[i];
    }
    double position = random.unit() * sum;
    for (std::size_t i = 0; i + 1 < count; ++i) {
        position -= weights[i];
        if (position < 0) return i;
    }
    return count - 1;
}

}  // namespace mothring
