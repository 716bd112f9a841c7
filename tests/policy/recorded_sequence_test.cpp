/// @file
/// Plays long random sequences of events, which cover all kinds of events and settings, and compares a digest
/// of the balancer's actions with the recorded digest. A change that is not meant to change behaviour must
/// keep the digests. For a change that is, the failures print the new digests, and its commit says why they
/// change.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <string>

#include "random_fleet.hpp"

namespace mothring::test {
namespace {

/// The number of requests in each sequence.
constexpr int kRequests = 2000;
/// The digests of the sequences with the seeds 1, 2, 3 and so on.
constexpr std::uint64_t kDigests[] = {
    0xf760315f4bfe18a7, 0x4c370b8e7b645124, 0xdc78fee4476a2d61, 0xd4de5f26ce353b3c,
    0xcefd9535374e8a4b, 0xbba2a1c779b42ac7, 0xba666aeafc1cd4d1, 0xee2482682f6bb58f,
    0x6d76ffa4f87dd400, 0x965daf618f6e2632, 0x8cedce979707463b, 0x3bcbabef8c21b022,
    0x1bcb7c7d6d689382, 0x3e10b1329453b305, 0x4a0ef8582b04b228, 0xbf33f78e49a1838a};

TEST(RecordedSequence, TakesTheSameActions) {
    std::map<char, int> actions;
    std::uint64_t seed = 0;
    for (const std::uint64_t expected : kDigests) {
        ++seed;
        RandomFleet fleet(seed);
        EXPECT_EQ(fleet.play(kRequests), expected) << "seed " << seed;
        for (const auto& [tag, count] : fleet.action_counts()) actions[tag] += count;
    }
    for (const char tag : std::string("SCRGTUEH"))
        EXPECT_GT(actions[tag], 20) << "the sequences contain too few actions with the tag " << tag;
}

}  // namespace
}  // namespace mothring::test
