/// @file
/// The constants of the protocol, and the timeouts and limits that are derived from them and from the size of
/// the fleet.
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

/// The protocol's constants. The papers' names are given in parentheses.
struct Parameters {
    /// Interval between probes in ms (SWIM's T').
    Millis period = kDefaultPeriod;
    /// Fraction of the period that is allowed for a direct ack; the rest is for indirect probes.
    double timeout_fraction = 0.5;
    /// Number of members that are asked for an indirect probe (SWIM's k).
    unsigned indirect_probes = 3;
    /// The minimum suspicion timeout is this times log10 N periods (Lifeguard's alpha).
    double suspicion_factor = kDefaultSuspicionFactor;
    /// The maximum suspicion timeout is this times the minimum (Lifeguard's beta).
    double max_suspicion_factor = kDefaultMaxSuspicionFactor;
    /// A claim is transmitted this times log10(N+1) times (SWIM's lambda).
    unsigned retransmit_factor = 4;
    /// Maximum of the local health score (Lifeguard).
    unsigned max_awareness = kDefaultMaxAwareness;
    /// Maximum total size of the claims in a message.
    std::size_t max_claim_bytes = kDefaultMaxClaimBytes;
    /// Maximum number of records in the member table.
    std::size_t max_members = kDefaultMaxMembers;
    /// Time in periods for which a dead member counts as expected and a member that left is remembered.
    double stable_periods = kDefaultStablePeriods;
    /// Time in periods for which state exchanges with a dead member are attempted, to heal a partition.
    double reconnect_periods = kDefaultReconnectPeriods;
    /// Minimum number of periods between state exchanges. In fleets of more than twice as many members N,
    /// each member waits N/2 periods, so that its traffic does not grow with N.
    double min_sync_periods = kDefaultMinSyncPeriods;

    /// Returns the suspicion timeout (Lifeguard, 4.2). It falls from the maximum to the minimum with
    /// confirmations.
    /// @param members  number of present members including this one.
    /// @param confirmations  number of accusations by members other than the first accuser.
    Millis suspicion_timeout(std::size_t members, unsigned confirmations) const;
    /// Returns the number of confirmations that reduce the timeout to its minimum; 0 if the fleet is too
    /// small for any.
    unsigned confirmations_wanted(std::size_t members) const;
    /// Returns the number of messages that a claim is piggybacked on before it is dropped.
    unsigned transmits(std::size_t members) const;
    /// Returns the average number of periods between state exchanges.
    double sync_periods(std::size_t members) const;
};

}  // namespace mothring::cluster
