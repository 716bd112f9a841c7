/// @file
/// Messages between members in datagrams, and the effects that Membership returns to its caller.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/claim.hpp"

namespace mothring::cluster {

/// A probe, an answer to a probe, or gossip; each carries piggybacked claims.
struct Message {
    /// The values are those on the wire.
    enum class Kind : std::uint8_t {
        ping,          ///< A probe.
        ack,           ///< The answer to a ping.
        ping_request,  ///< Requests an indirect probe from another member (SWIM's ping-req).
        nack,          ///< Reports that the indirect probe has had no answer yet (Lifeguard).
        gossip         ///< Carries only claims.
    };
    Kind kind = Kind::ping;
    /// ID of the probe, chosen by the member that receives the answer.
    std::uint64_t sequence = 0;
    /// Name of the sender.
    std::string from;
    /// Name of the member that a ping is meant for or that a ping_request is about.
    std::string target;
    std::vector<Claim> claims;
};

/// Messages and state exchanges that the caller must carry out, and changes to report.
struct Effects {
    /// A message to send.
    struct Send {
        /// Name of the receiving member; empty if only the address is known.
        std::string to;
        /// Address from which the request came, if the message is an answer. If empty, the member's own
        /// address is used.
        std::string address;
        Message message;
    };
    /// A change in the state of a member.
    struct Change {
        /// One of: joined, suspect, refuted (by the suspect), dead, left, rejoined (another process
        /// instance), superseded (another process has this member's name), accused (this member is suspected
        /// and refutes it).
        std::string what;
        /// Name of the member.
        std::string name;
        std::uint64_t incarnation = 0;
        /// Member that raised the accusation; empty for other changes.
        std::string by;
    };
    std::vector<Send> sends;
    std::vector<Change> changes;
    /// Names of the members to exchange the complete state with.
    std::vector<std::string> syncs;
};

}  // namespace mothring::cluster
