// What members say of each other: SWIM's membership updates, with the order that decides which of two stands.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace mothring::cluster {

// In the order of precedence at one incarnation; the values are those on the wire.
enum class State : std::uint8_t { alive, suspect, dead, left };
const char* name_of(State state);
// Alive, or suspected and not yet declared dead: it counts and is probed.
bool is_present(State state);

// What is said of a member, SWIM's update of the membership. A greater incarnation, which only the member
// itself makes, overrides a lesser; at the same one left overrides dead, dead suspect, and suspect alive: the
// greatest claim stands, in whatever order they come. A life is one process: a restarted member has another
// `life`, and a greater incarnation.
struct Claim {
    std::string name;
    State state = State::alive;
    std::uint64_t incarnation = 0, life = 0;
    std::string udp, tcp;  // ADDRESS:PORT, where it listens
    std::string version;   // of the program it runs
    std::string by;        // suspect: who accuses
};

// Whether `claim` takes the place of `held`, which is about the same member.
bool overrides(const Claim& claim, const Claim& held);
// Bytes of a claim as counted against the room of a message (Parameters::room).
std::size_t encoded_size(const Claim& claim);
// The claim as it is disseminated: addresses and version go only with `alive`, as nobody needs them of a
// member that may be gone.
Claim compact(Claim claim);

}  // namespace mothring::cluster
