#include "cluster/payload.hpp"

#include <cstddef>
#include <msgpack.hpp>
#include <stdexcept>
#include <utility>

namespace mothring::cluster {

namespace {

constexpr std::uint8_t kSyncKind = 255;
constexpr std::uint32_t kPayloadItems = 7;
constexpr std::uint32_t kClaimItems = 8;
constexpr std::size_t kMaxTextBytes = 255;  // bytes
constexpr std::size_t kMaxNesting = 4;

using Packer = msgpack::packer<msgpack::sbuffer>;

void pack(Packer& packer, const std::vector<Claim>& claims) {
    packer.pack_array(static_cast<std::uint32_t>(claims.size()));
    for (const Claim& claim : claims) {
        packer.pack_array(kClaimItems);
        packer.pack(claim.name).pack(static_cast<std::uint8_t>(claim.state));
        packer.pack(claim.incarnation).pack(claim.instance_id);
        packer.pack(claim.udp).pack(claim.tcp).pack(claim.version).pack(claim.by);
    }
}

void pack_head(Packer& packer, const Origin& origin, std::uint8_t kind) {
    packer.pack_array(kPayloadItems);
    packer.pack(origin.name).pack(origin.instance_id).pack(origin.counter).pack(kind);
}

// Reads the items of an array in order. Throws if an item is missing or has another type.
class Reader {
public:
    /// @param structure  name of the encoded structure, for error messages.
    Reader(const msgpack::object& object, const char* structure) : structure_(structure) {
        if (object.type != msgpack::type::ARRAY) throw std::invalid_argument(structure_ + " is not an array");
        begin_ = object.via.array.ptr;
        next_ = begin_;
        end_ = next_ + object.via.array.size;
    }
    const msgpack::object& object() {
        if (next_ == end_)
            throw std::invalid_argument(structure_ + " is truncated: it has only " +
                                        std::to_string(end_ - begin_) + " items");
        return *next_++;
    }
    std::uint64_t number() { return object().as<std::uint64_t>(); }
    bool flag() { return object().as<bool>(); }
    std::string text() {
        auto text = object().as<std::string>();
        if (text.size() > kMaxTextBytes)
            throw std::invalid_argument("string in item " + std::to_string(next_ - begin_) + " of " +
                                        structure_ + " has " + std::to_string(text.size()) +
                                        " bytes, limit is " + std::to_string(kMaxTextBytes));
        return text;
    }
    std::size_t remaining() const { return static_cast<std::size_t>(end_ - next_); }

private:
    std::string structure_;
    const msgpack::object* begin_ = nullptr;
    const msgpack::object* next_ = nullptr;
    const msgpack::object* end_ = nullptr;
};

Claim read_claim(const msgpack::object& object) {
    Reader items(object, "claim");
    Claim claim;
    claim.name = items.text();
    const std::uint64_t state = items.number();
    if (claim.name.empty() || state > static_cast<std::uint64_t>(State::left))
        throw std::invalid_argument("claim has an empty member name or the unknown state " +
                                    std::to_string(state));
    claim.state = static_cast<State>(state);
    claim.incarnation = items.number();
    claim.instance_id = items.number();
    claim.udp = items.text();
    claim.tcp = items.text();
    claim.version = items.text();
    claim.by = items.text();
    return claim;
}

std::vector<Claim> read_claims(const msgpack::object& object) {
    std::vector<Claim> claims;
    Reader items(object, "claim list");
    while (items.remaining() > 0) claims.push_back(read_claim(items.object()));
    return claims;
}

Sync read_sync(const std::string& from, Reader& items) {
    Sync sync;
    sync.from = from;
    sync.digest = items.number();
    sync.complete = items.flag();
    sync.claims = read_claims(items.object());
    return sync;
}

Message read_message(const std::string& from, std::uint64_t kind, Reader& items) {
    if (kind > static_cast<std::uint64_t>(Message::Kind::gossip))
        throw std::invalid_argument("payload has the unknown kind " + std::to_string(kind));
    Message message;
    message.kind = static_cast<Message::Kind>(kind);
    message.from = from;
    message.sequence = items.number();
    message.target = items.text();
    message.claims = read_claims(items.object());
    return message;
}

}  // namespace

Bytes encode(const Origin& origin, const Payload& payload) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    if (const auto* const message = std::get_if<Message>(&payload)) {
        pack_head(packer, origin, static_cast<std::uint8_t>(message->kind));
        packer.pack(message->sequence).pack(message->target);
        pack(packer, message->claims);
    } else {
        const Sync& sync = std::get<Sync>(payload);
        pack_head(packer, origin, kSyncKind);
        packer.pack(sync.digest).pack(sync.complete);
        pack(packer, sync.claims);
    }
    const auto* const data = reinterpret_cast<const std::uint8_t*>(buffer.data());
    return {data, data + buffer.size()};
}

DecodedPayload decode(std::span<const std::uint8_t> bytes) {
    // No array or string in a message can have more items than the message has bytes.
    const msgpack::unpack_limit limit(bytes.size(), 0, kMaxTextBytes, 0, 0, kMaxNesting);
    const msgpack::object_handle handle =
        msgpack::unpack(reinterpret_cast<const char*>(bytes.data()), bytes.size(), nullptr, nullptr, limit);
    Reader items(handle.get(), "payload");
    DecodedPayload decoded;
    Origin& origin = decoded.origin;
    origin.name = items.text();
    origin.instance_id = items.number();
    origin.counter = items.number();
    const std::uint64_t kind = items.number();
    if (origin.name.empty()) throw std::invalid_argument("payload has an empty sender name");
    if (kind == kSyncKind) {
        decoded.payload = read_sync(origin.name, items);
    } else {
        decoded.payload = read_message(origin.name, kind, items);
    }
    return decoded;
}

}  // namespace mothring::cluster
