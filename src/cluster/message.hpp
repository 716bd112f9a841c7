/// @file
/// What goes between members in datagrams, and what the membership asks of whoever carries it out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/claim.hpp"

namespace mothring::cluster {

/// A probe, an answer to one, or gossip alone; each carries piggybacked claims.
struct Message {
    /// The values are those on the wire.
    enum class Kind : std::uint8_t {
        ping,          ///< A probe.
        ack,           ///< The answer to a ping.
        ping_request,  ///< Asks a member to probe another: SWIM's ping-req, an indirect probe.
        nack,          ///< That member has probed without an answer yet (Lifeguard).
        gossip         ///< Claims alone.
    };
    Kind kind = Kind::ping;
    /// Identifies the probe; chosen by the member that the answer is for.
    std::uint64_t sequence = 0;
    /// The sender.
    std::string from;
    /// Whom a ping is meant for, or a ping_request is about.
    std::string target;
    std::vector<Claim> claims;
};

/// What the membership wants done, and what it has learnt.
struct Effects {
    /// A message to send.
    struct Send {
        /// The member; empty where only the address is known.
        std::string to;
        /// Of an answer: where the request came from. Empty: the member's own.
        std::string address;
        Message message;
    };
    /// What has changed in the view of a member.
    struct Change {
        /// joined, suspect, refuted (by the suspect), dead, left, rejoined (another life), superseded
        /// (another process has this member's name), accused (this member is suspected, and refutes it).
        std::string what;
        /// The member.
        std::string name;
        std::uint64_t incarnation = 0;
        /// Who accuses it; else empty.
        std::string by;
    };
    std::vector<Send> sends;
    std::vector<Change> changes;
    /// Members to exchange the complete state with.
    std::vector<std::string> syncs;
};

}  // namespace mothring::cluster
