// The constants of the protocol, and the timeouts and limits that follow from them and the size of the fleet.
#pragma once

#include <cstddef>

#include "mothring/balancer.hpp"

namespace mothring::cluster {

struct Parameters {
    Millis period = 1000;              // of probes, SWIM's T'
    double timeout_part = 0.5;         // of the period, for a direct ack; the rest is for the indirect ones
    unsigned indirect = 3;             // members asked to probe, SWIM's k
    double suspicion = 4;              // least timeout: this times log10 N periods (Lifeguard's alpha),
    double suspicion_most = 6;         // and the greatest this times the least (beta)
    unsigned retransmit = 4;           // a claim is passed on this times log10(N+1) times (SWIM's lambda)
    unsigned awareness_most = 8;       // of Lifeguard's local health multiplier
    std::size_t room = 1000;           // bytes of claims in a message
    std::size_t members_most = 1024;   // records held
    double stable_periods = 600;       // for so long one that died counts as expected,
    double reconnect_periods = 86400;  // and is tried for to heal a partition
    double sync_least_periods = 8;     // between full syncs; N/2 where that is more, so that a member's
                                       // traffic does not grow with N

    // The suspicion timeout in ms (Lifeguard, 4.2), with so many present members, this one included, and
    // confirmations by others than the first accuser: it falls from the greatest to the least as they come.
    Millis suspicion_timeout(std::size_t members, unsigned confirmations) const;
    // Confirmations that bring the timeout to its least; 0 where the fleet is too small for any.
    unsigned confirmations_wanted(std::size_t members) const;
    // Messages that a claim is piggybacked on before it is dropped.
    unsigned transmits(std::size_t members) const;
    // Periods between exchanges of the whole state, on average.
    double sync_periods(std::size_t members) const;
};

}  // namespace mothring::cluster
