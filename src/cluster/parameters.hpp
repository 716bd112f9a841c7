/// @file
/// The constants of the protocol, and the timeouts and limits that follow from them and the size of the
/// fleet.
#pragma once

#include <cstddef>

#include "mothring/types.hpp"

namespace mothring::cluster {

constexpr Millis kDefaultPeriod = 1000;
constexpr double kDefaultSuspicionFactor = 4;
constexpr double kDefaultMaxSuspicionFactor = 6;
constexpr unsigned kDefaultMaxAwareness = 8;
constexpr std::size_t kDefaultMaxClaimBytes = 1000;
constexpr std::size_t kDefaultMaxMembers = 1024;
constexpr double kDefaultStablePeriods = 600;
constexpr double kDefaultReconnectPeriods = 86400;
constexpr double kDefaultMinSyncPeriods = 8;

/// The protocol's constants. Names in parentheses are those of the papers.
struct Parameters {
    /// Of the probes (SWIM's T').
    Millis period = kDefaultPeriod;
    /// Of the period, for a direct ack; the rest is for indirect probes.
    double timeout_fraction = 0.5;
    /// Members that are asked to probe on this one's behalf (SWIM's k).
    unsigned indirect_probes = 3;
    /// The least suspicion timeout is this times log10 N periods (Lifeguard's alpha).
    double suspicion_factor = kDefaultSuspicionFactor;
    /// The greatest suspicion timeout is this times the least (Lifeguard's beta).
    double max_suspicion_factor = kDefaultMaxSuspicionFactor;
    /// A claim is passed on this times log10(N+1) times (SWIM's lambda).
    unsigned retransmit_factor = 4;
    /// Of the local health score (Lifeguard).
    unsigned max_awareness = kDefaultMaxAwareness;
    /// Of the claims in a message.
    std::size_t max_claim_bytes = kDefaultMaxClaimBytes;
    /// Records held.
    std::size_t max_members = kDefaultMaxMembers;
    /// For so long a member that died counts as expected, and one that left is remembered.
    double stable_periods = kDefaultStablePeriods;
    /// For so long a member that died is called, to heal a partition.
    double reconnect_periods = kDefaultReconnectPeriods;
    /// Between state exchanges, at the least. Of more than twice as many members N each waits N/2 periods, so
    /// that its traffic does not grow with N.
    double min_sync_periods = kDefaultMinSyncPeriods;

    /// The suspicion timeout (Lifeguard, 4.2); it falls from the greatest to the least with confirmations.
    /// @param members  present, this one included.
    /// @param confirmations  by others than the first accuser.
    Millis suspicion_timeout(std::size_t members, unsigned confirmations) const;
    /// Confirmations that bring the timeout to its least; 0 where the fleet is too small for any.
    unsigned confirmations_wanted(std::size_t members) const;
    /// Messages that a claim is piggybacked on before it is dropped.
    unsigned transmits(std::size_t members) const;
    /// Periods between state exchanges, on average.
    double sync_periods(std::size_t members) const;
};

}  // namespace mothring::cluster
