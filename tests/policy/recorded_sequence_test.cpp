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
    0x214c6b67b818f0e7, 0xee8b72deda21b8f4, 0x94a58e1052d847f1, 0x35c736668f7cffd6,
    0x6e99f1ea430c20a6, 0x1bf84ca413d15469, 0x543c7c2275d08335, 0x9bdcd981dfbe891e,
    0x021d4ce783901764, 0x965daf618f6e2632, 0x3f254fdebe58d1fb, 0x105e483935d262b8,
    0x0bc85f57a34fa676, 0x5769cf398ba9896e, 0xcf4b844a2e1092e0, 0x469a982deb1e2daf};

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
