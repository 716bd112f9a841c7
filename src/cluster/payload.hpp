/// @file
/// Payloads between members as msgpack: [name, instance ID, counter, kind, ...].
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "cluster/claim.hpp"
#include "cluster/message.hpp"

namespace mothring::cluster {

using Bytes = std::vector<std::uint8_t>;

/// One message of a state exchange (TCP).
struct Sync {
    /// Name of the sender.
    std::string from;
    /// Digest of the sender's complete state.
    std::uint64_t digest = 0;
    /// Whether the message has the complete state, which is sent only if the digests differ.
    bool complete = false;
    /// The complete state, or empty.
    std::vector<Claim> claims;
};

using Payload = std::variant<Message, Sync>;

/// The sender of a payload, and the payload's position among the sender's messages.
struct Origin {
    std::string name;
    /// ID of the sender's process instance.
    std::uint64_t instance_id = 0;
    /// Counter that increases with each payload of a process instance.
    std::uint64_t counter = 0;
};

/// A received payload and its sender.
struct DecodedPayload {
    Origin origin;
    Payload payload;
};

/// Encodes a payload. Its `from` is not written, because the origin names the sender.
Bytes encode(const Origin& origin, const Payload& payload);

/// Decodes a payload.
/// @throws std::exception if it is malformed.
DecodedPayload decode(std::span<const std::uint8_t> bytes);

}  // namespace mothring::cluster
