/// @file
/// Each message is authenticated with the fleet's shared key, so that only holders of the key can add or
/// evict a member.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <variant>

#include "cluster/known_instances.hpp"
#include "cluster/membership.hpp"
#include "cluster/payload.hpp"

namespace mothring::cluster {

/// Reason for which a received message is rejected.
enum class Rejection : std::uint8_t {
    oversized,  ///< Longer than the limit for this transport.
    version,    ///< Another version of the envelope.
    forged,     ///< The MAC does not match the fleet's key.
    malformed,  ///< The envelope or payload can't be decoded.
    replayed    ///< Accepted before, or its process instance must be proven first.
};
/// Number of values of Rejection.
inline constexpr std::size_t kRejectionCount = 5;
/// Returns the reason's name as written to the log and /metrics.
const char* name_of(Rejection rejection);

/// An authentic payload of an unknown process instance whose ID is not greater than the known ones. It is
/// either a replay or from a process whose wall clock was stepped back. Its contents must be ignored until
/// the instance is proven to be running by an ack that answers a challenge (FreshnessChallenges).
struct Unproven {
    /// Name of the sender.
    std::string from;
    std::uint64_t instance_id = 0;
    /// Counter of the payload within its process instance.
    std::uint64_t counter = 0;
    Payload payload;
};

/// Seals the payloads of one member and opens those of others. Records the process instances and counters of
/// the senders, so that each payload is accepted once.
class Codec {
public:
    static constexpr std::uint8_t kVersion = 1;
    static constexpr std::size_t kMacBytes = 16;                        // bytes
    static constexpr std::size_t kEnvelopeHeaderBytes = 1 + kMacBytes;  // bytes before the payload
    static constexpr std::size_t kMaxDatagramBytes = 1400;    // bytes; fits into one packet of any usual link
    static constexpr std::size_t kMaxSyncBytes = 512 * 1024;  // bytes
    static constexpr std::size_t kMinKeyBytes = 16;           // bytes

    /// @param key  the fleet's shared key, at least kMinKeyBytes long.
    /// @param name  name of the member whose payloads are sealed.
    /// @param instance_id  process instance of that member.
    /// @throws std::invalid_argument if the key is too short.
    Codec(std::string key, std::string name, std::uint64_t instance_id);

    Bytes seal(const Payload& payload);
    /// Opens an envelope. Each payload is accepted once, by the window of RFC 4303, 3.4.3 (KnownInstances).
    /// @param max_bytes  maximum size of the envelope.
    /// @return the payload, the reason for its rejection, or the payload of an instance that must be proven
    ///     first.
    std::variant<Payload, Rejection, Unproven> open(std::span<const std::uint8_t> bytes,
                                                    std::size_t max_bytes);
    /// Accepts messages of a proven process instance with counters greater than that of the proof.
    /// @param proof  a payload known to have been sealed recently, because it answers a challenge.
    void accept_instance(const Unproven& proof);

private:
    using Mac = std::array<std::uint8_t, kMacBytes>;

    Mac mac(std::span<const std::uint8_t> body) const;
    KnownInstances::Verdict classify(const Origin& origin);

    std::string key_;
    Origin self_;                                  // its counter is that of the last payload sealed
    std::map<std::string, KnownInstances> known_;  // by name
};

}  // namespace mothring::cluster
