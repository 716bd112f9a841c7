/// @file
/// What members send each other, as msgpack: [name, life, counter, kind, ...].
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

/// One side of a state exchange (TCP).
struct Sync {
    /// The sender.
    std::string from;
    /// Of the sender's complete state.
    std::uint64_t digest = 0;
    /// Whether it has the complete state; sent only where the digests differ.
    bool complete = false;
    /// The complete state; else empty.
    std::vector<Claim> claims;
};

using Payload = std::variant<Message, Sync>;

/// Who has sent a payload, and as which of its messages.
struct Origin {
    std::string name;
    /// Of the sender's process.
    std::uint64_t instance_id = 0;
    /// Greater with each payload of a life.
    std::uint64_t counter = 0;
};

/// A payload that was received.
struct DecodedPayload {
    Origin origin;
    Payload payload;
};

/// Writes a payload; its own `from` is not written, as the origin names the sender.
Bytes encode(const Origin& origin, const Payload& payload);

/// Reads a payload.
/// @throws std::exception where it is malformed.
DecodedPayload decode(std::span<const std::uint8_t> bytes);

}  // namespace mothring::cluster
