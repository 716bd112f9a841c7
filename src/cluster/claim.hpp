/// @file
/// What members say of each other: SWIM's membership updates, with the order that decides which of two
/// stands.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace mothring::cluster {

/// The state of a member, in the order of precedence at one incarnation; the values are those on the wire.
enum class State : std::uint8_t { alive, suspect, dead, left };
/// As in the log.
const char* name_of(State state);
/// Alive, or suspected and not yet declared dead: it counts and is probed.
bool is_present(State state);

/// What is said of a member, SWIM's update of the membership. The greater incarnation overrides the lesser,
/// and only the member itself raises its incarnation. At the same incarnation the greater State overrides. So
/// the order in which claims arrive does not matter. A restarted member has another `life` and a greater
/// incarnation.
struct Claim {
    std::string name;
    State state = State::alive;
    std::uint64_t incarnation = 0;
    /// Identifies the member's process.
    std::uint64_t instance_id = 0;
    /// Where it listens for messages, as ADDRESS:PORT.
    std::string udp;
    /// Where it listens for state exchanges, as ADDRESS:PORT.
    std::string tcp;
    /// Of the program that it runs.
    std::string version;
    /// Who accuses it, where `state` is suspect or dead.
    std::string by;
};

/// Whether `claim` takes the place of `held`, which is about the same member.
bool overrides(const Claim& claim, const Claim& held);
/// Bytes of a claim as counted against Parameters::max_claim_bytes.
std::size_t encoded_size(const Claim& claim);
/// The claim as it is disseminated: only State::alive carries addresses and version, as nobody needs them of
/// a member that may be gone.
Claim compact(Claim claim);

}  // namespace mothring::cluster
