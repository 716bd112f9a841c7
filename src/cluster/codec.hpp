// Peer messages as bytes, and back: msgpack inside a sealed envelope,
//   1 byte version | 16 bytes HMAC-SHA256, cut (RFC 2104, 5) | msgpack [name, life, counter, kind, ...]
// sealed with the fleet's shared key, so that a stray sender can't join or evict anybody. What is wrong with
// a datagram is told by a reason and never thrown: it is counted and dropped.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "cluster/known_lives.hpp"
#include "cluster/membership.hpp"

namespace mothring::cluster {

using Bytes = std::vector<std::uint8_t>;

enum class Rejection : std::uint8_t { oversized, version, forged, malformed, replayed };
inline constexpr std::size_t kRejections = 5;
const char* name_of(Rejection rejection);

// One side of a full exchange (TCP): its digest, and its whole state where the digests differ.
struct Sync {
    std::string from;
    std::uint64_t digest = 0;
    bool complete = false;
    std::vector<Claim> claims;
};

using Payload = std::variant<Message, Sync>;

/// An authentic payload of a life that is unknown and not greater than lives met before: a recording, or the
/// word of a process whose wall clock was stepped back. Nothing in it may be acted on before its life is
/// proven to be present, by an ack in it that answers a challenge (FreshnessChallenges).
struct Unproven {
    std::string from;
    std::uint64_t life = 0, counter = 0;  // of the envelope
    Payload payload;
};

class Codec {
public:
    static constexpr std::uint8_t kVersion = 1;
    static constexpr std::size_t kSealed = 17;             // bytes before the msgpack
    static constexpr std::size_t kLongestDatagram = 1400;  // within one packet of any link
    static constexpr std::size_t kLongestSync = 512 * 1024;
    static constexpr std::size_t kShortestKey = 16;

    // `name` and `life` of whom it seals for; `key` is the fleet's, at least kShortestKey bytes.
    Codec(std::string key, std::string name, std::uint64_t life);

    Bytes seal(const Payload& payload);
    /// What it says, or why it is dropped, or that its sender has to prove its life first. A message is taken
    /// once (the window of RFC 4303, 3.4.3, for each of a name's two lives that count: KnownLives).
    std::variant<Payload, Rejection, Unproven> open(std::span<const std::uint8_t> bytes, std::size_t longest);
    /// `proof` is known to have been sealed just now: later messages of its life are taken.
    void take_life(const Unproven& proof);

private:
    std::array<std::uint8_t, 16> mac(std::span<const std::uint8_t> body) const;
    KnownLives::Verdict judge(const std::string& name, std::uint64_t life, std::uint64_t counter);

    std::string key_, name_;
    std::uint64_t life_, counter_ = 0;
    std::map<std::string, KnownLives> known_;  // by name
};

}  // namespace mothring::cluster
