/// @file
/// The random number generator of the tests.
#pragma once

#include <cstdint>

#include "mothring/types.hpp"

namespace mothring::test {

/// The SplitMix64 generator (Steele, Lea and Flood, 2014). It is separate from the policy's generator, so
/// that a change of that one leaves the random numbers of the tests as they are.
class Generator {
public:
    explicit Generator(std::uint64_t seed) : state_(seed) {}

    /// Returns a number that is uniformly distributed in [0, 1).
    double unit() {
        constexpr int kUnusedBits = 11;
        constexpr double kUnit = 0x1.0p-53;
        return static_cast<double>(next() >> kUnusedBits) * kUnit;
    }

    /// Returns true with the given probability.
    bool chance(double probability) { return unit() < probability; }

    /// Returns an integer that is uniformly distributed in [0, count).
    std::uint32_t below(std::uint32_t count) { return static_cast<std::uint32_t>(unit() * count); }

    /// Returns a time that is roughly exponentially distributed. The computation does not use the mathematics
    /// library, whose results may differ between platforms.
    Millis gap(Millis mean) {
        constexpr int kMaxHalvings = 10;
        int halvings = 0;
        while (halvings < kMaxHalvings && chance(0.5)) ++halvings;
        return mean * (halvings + unit());
    }

private:
    std::uint64_t next() {
        state_ += kIncrement;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> kFirstShift)) * kFirstMultiplier;
        mixed = (mixed ^ (mixed >> kSecondShift)) * kSecondMultiplier;
        return mixed ^ (mixed >> kThirdShift);
    }

    static constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15;
    static constexpr std::uint64_t kFirstMultiplier = 0xbf58476d1ce4e5b9;
    static constexpr std::uint64_t kSecondMultiplier = 0x94d049bb133111eb;
    static constexpr int kFirstShift = 30;
    static constexpr int kSecondShift = 27;
    static constexpr int kThirdShift = 31;

    std::uint64_t state_;
};

}  // namespace mothring::test
