// What goes between members in datagrams, and what the membership asks of whoever carries it out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/claim.hpp"

namespace mothring::cluster {

// A probe, an answer to one, or gossip alone; each carries piggybacked claims.
struct Message {
    // ping_request asks a member to probe another (SWIM's ping-req, an indirect probe); nack is that member's
    // word that it tried without an answer yet (Lifeguard).
    enum class Kind : std::uint8_t { ping, ack, ping_request, nack, gossip };
    Kind kind = Kind::ping;
    std::uint64_t sequence = 0;  // of the probe, chosen by whom the answer is for
    std::string from, target;    // target: whom a ping is meant for, or a ping_request is about
    std::vector<Claim> claims;
};

// What is to be done and what was learnt.
struct Effects {
    struct Send {
        std::string to;       // the member; empty where only the address is known
        std::string address;  // an answer's: where the question came from; empty: the member's own
        Message message;
    };
    struct Change {
        // joined, suspect, refuted (by the suspect), dead, left, rejoined (another life), superseded (another
        // process has this member's name), accused (this member is suspected, and says otherwise)
        std::string what, name;
        std::uint64_t incarnation = 0;
        std::string by;
    };
    std::vector<Send> sends;
    std::vector<Change> changes;
    std::vector<std::string> syncs;  // members to exchange the whole state with
};

}  // namespace mothring::cluster
