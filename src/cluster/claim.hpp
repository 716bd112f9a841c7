/// @file
/// Claims: SWIM's membership updates, and the precedence between two claims about the same member.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace mothring::cluster {

/// State of a member, in order of precedence at the same incarnation. The values are those on the wire.
enum class State : std::uint8_t { alive, suspect, dead, left };
/// Returns the state's name as written to the log and /metrics.
const char* name_of(State state);
/// Returns whether a member in this state counts as present and is probed: it is alive, or suspect and not
/// yet declared dead.
bool is_present(State state);

/// A statement about a member: SWIM's membership update. The greater incarnation overrides the lesser, and
/// only the member itself raises its incarnation. At the same incarnation the greater State overrides. The
/// result is therefore independent of the order in which claims arrive. A restarted member has a new instance
/// ID and a greater incarnation.
struct Claim {
    std::string name;
    State state = State::alive;
    std::uint64_t incarnation = 0;
    /// ID of the process instance.
    std::uint64_t instance_id = 0;
    /// Address for messages, as ADDRESS:PORT.
    std::string udp;
    /// Address for state exchanges, as ADDRESS:PORT.
    std::string tcp;
    /// Version of the program that the member runs.
    std::string version;
    /// Member that raised the accusation, if `state` is suspect or dead.
    std::string by;
};

/// Returns whether `claim` replaces `held`, which is about the same member.
bool overrides(const Claim& claim, const Claim& held);
/// Returns the size of a claim in bytes, as counted against Parameters::max_claim_bytes.
std::size_t encoded_size(const Claim& claim);
/// Returns the claim as it is disseminated. Addresses and version are kept only for State::alive, as they are
/// not needed for other states.
Claim compact(Claim claim);

}  // namespace mothring::cluster
