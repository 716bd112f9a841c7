/// @file
/// This process's share of a limit that applies to the whole fleet of sidecars.
#include "fleet_share.hpp"

#include <gtest/gtest.h>

namespace mothring::test {
namespace {

TEST(FleetShare, DividesTheMinimumInFlightByTheFleetSize) {
    Settings settings;
    settings.fleet_size = 100;
    const FleetShare share(settings);
    EXPECT_DOUBLE_EQ(share.in_flight_per_server(), kMinInFlightPerServer / 100);
}

TEST(FleetShare, IsAtMostOneAttempt) {
    Settings settings;
    for (const std::uint32_t sidecars : {0U, 1U, 4U}) {
        settings.fleet_size = sidecars;
        EXPECT_EQ(FleetShare(settings).in_flight_per_server(), 1) << sidecars;
    }
}

TEST(FleetShare, UsesTheNumberOfMembersOnlyWithAQuorum) {
    Settings settings;
    settings.fleet_size = 100;
    FleetShare share(settings);
    share.set_members({40, false});
    EXPECT_DOUBLE_EQ(share.in_flight_per_server(), kMinInFlightPerServer / 100);
    share.set_members({40, true});
    EXPECT_DOUBLE_EQ(share.in_flight_per_server(), kMinInFlightPerServer / 40);
}

}  // namespace
}  // namespace mothring::test
