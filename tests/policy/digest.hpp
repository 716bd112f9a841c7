/// @file
/// A digest of integers and times.
#pragma once

#include <bit>
#include <cstdint>

#include "mothring/types.hpp"

namespace mothring::test {

/// Computes the 64-bit FNV-1a hash of the values that are added.
class Digest {
public:
    void add(std::uint64_t word) {
        for (int shift = 0; shift < kWordBits; shift += kByteBits) {
            value_ ^= (word >> shift) & kByteMask;
            value_ *= kPrime;
        }
    }
    void add(Millis time) { add(std::bit_cast<std::uint64_t>(time)); }

    std::uint64_t value() const { return value_; }

private:
    static constexpr int kWordBits = 64;
    static constexpr int kByteBits = 8;
    static constexpr std::uint64_t kByteMask = 0xff;
    static constexpr std::uint64_t kPrime = 0x100000001b3;
    static constexpr std::uint64_t kOffset = 0xcbf29ce484222325;

    std::uint64_t value_ = kOffset;
};

}  // namespace mothring::test
