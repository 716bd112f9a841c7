/// @file
/// The envelope of the messages between members:
///   1 byte version | 16 bytes HMAC-SHA256, truncated (RFC 2104, 5) | payload
/// It is sealed with the fleet's shared key, so that nobody else can add or evict a member.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <variant>

#include "cluster/known_lives.hpp"
#include "cluster/membership.hpp"
#include "cluster/payload.hpp"

namespace mothring::cluster {

/// Why a received message is dropped.
enum class Rejection : std::uint8_t {
    oversized,  ///< Longer than any message may be.
    version,    ///< Of another version of the envelope.
    forged,     ///< Not sealed with the fleet's key.
    malformed,  ///< Can't be read.
    replayed    ///< Taken before, or of a life that has to be proven first.
};
/// The number of values of Rejection.
inline constexpr std::size_t kRejections = 5;
/// As in the log and the metrics.
const char* name_of(Rejection rejection);

/// An authentic payload of a life that is unknown and not greater than lives met before: a recording, or from
/// a process whose wall clock was stepped back. Nothing in it may be acted on before its life is proven to be
/// present, by an ack in it that answers a challenge (FreshnessChallenges).
struct Unproven {
    /// The sender.
    std::string from;
    std::uint64_t instance_id = 0;
    /// Of the payload, within its life.
    std::uint64_t counter = 0;
    Payload payload;
};

/// Seals payloads of one member, and opens those of others. Keeps the lives of the senders, as a payload is
/// taken once.
class Codec {
public:
    static constexpr std::uint8_t kVersion = 1;
    static constexpr std::size_t kMacSize = 16;              // bytes
    static constexpr std::size_t kSealed = 1 + kMacSize;     // bytes before the payload
    static constexpr std::size_t kLongestDatagram = 1400;    // bytes; within one packet of any link
    static constexpr std::size_t kLongestSync = 512 * 1024;  // bytes
    static constexpr std::size_t kMinKeyBytes = 16;          // bytes

    /// @param key  the fleet's, at least kShortestKey bytes.
    /// @param name  of the member whose payloads it seals.
    /// @param life  of that member.
    /// @throws std::invalid_argument where the key is too short.
    Codec(std::string key, std::string name, std::uint64_t instance_id);

    Bytes seal(const Payload& payload);
    /// Opens an envelope. Each payload is taken once, by the window of RFC 4303, 3.4.3 (KnownLives).
    /// @param longest  bytes that the envelope may have.
    /// @return the payload, or why it is dropped, or that its sender has to prove its life first.
    std::variant<Payload, Rejection, Unproven> open(std::span<const std::uint8_t> bytes, std::size_t longest);
    /// Takes later messages of a life from now on.
    /// @param proof  known to have been sealed just now.
    void take_life(const Unproven& proof);

private:
    using Mac = std::array<std::uint8_t, kMacSize>;

    Mac mac(std::span<const std::uint8_t> body) const;
    KnownLives::Verdict judge(const Origin& origin);

    std::string key_;
    Origin self_;                              // its counter is that of the last payload sealed
    std::map<std::string, KnownLives> known_;  // by name
};

}  // namespace mothring::cluster
