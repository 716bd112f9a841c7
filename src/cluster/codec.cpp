#include "cluster/codec.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <msgpack.hpp>
#include <stdexcept>

namespace mothring::cluster {

namespace {

constexpr std::uint8_t kSyncKind = 255;
constexpr std::size_t kLongestText = 255;
constexpr std::size_t kNames = 4096;  // whose lives are remembered

using Packer = msgpack::packer<msgpack::sbuffer>;

void pack(Packer& to, const std::vector<Claim>& claims) {
    to.pack_array(static_cast<std::uint32_t>(claims.size()));
    for (const Claim& c : claims) {
        to.pack_array(8);
        to.pack(c.name).pack(static_cast<std::uint8_t>(c.state)).pack(c.incarnation).pack(c.life);
        to.pack(c.udp).pack(c.tcp).pack(c.version).pack(c.by);
    }
}

// Reads an array's items in turn; throws where one is missing or of another type.
class Reader {
public:
    explicit Reader(const msgpack::object& object) {
        if (object.type != msgpack::type::ARRAY) throw std::invalid_argument("no array");
        at_ = object.via.array.ptr;
        end_ = at_ + object.via.array.size;
    }
    const msgpack::object& object() {
        if (at_ == end_) throw std::invalid_argument("too short");
        return *at_++;
    }
    std::uint64_t number() { return object().as<std::uint64_t>(); }
    std::string text() {
        auto text = object().as<std::string>();
        if (text.size() > kLongestText) throw std::invalid_argument("text too long");
        return text;
    }
    std::size_t left() const { return static_cast<std::size_t>(end_ - at_); }

private:
    const msgpack::object* at_ = nullptr;
    const msgpack::object* end_ = nullptr;
};

std::vector<Claim> read_claims(const msgpack::object& object) {
    std::vector<Claim> claims;
    for (Reader items(object); items.left() > 0;) {
        Reader item(items.object());
        Claim c;
        c.name = item.text();
        const std::uint64_t state = item.number();
        if (c.name.empty() || state > static_cast<std::uint64_t>(State::left))
            throw std::invalid_argument("no claim");
        c.state = static_cast<State>(state);
        c.incarnation = item.number();
        c.life = item.number();
        c.udp = item.text();
        c.tcp = item.text();
        c.version = item.text();
        c.by = item.text();
        claims.push_back(std::move(c));
    }
    return claims;
}

}  // namespace

const char* name_of(Rejection rejection) {
    constexpr const char* kNames[] = {"oversized", "version", "forged", "malformed", "replayed"};
    return kNames[static_cast<std::size_t>(rejection)];
}

Codec::Codec(std::string key, std::string name, std::uint64_t life)
    : key_(std::move(key)), name_(std::move(name)), life_(life) {
    if (key_.size() < kShortestKey) throw std::invalid_argument("the key is too short");
}

std::array<std::uint8_t, 16> Codec::mac(std::span<const std::uint8_t> body) const {
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> whole{};
    unsigned size = 0;
    if (!HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()), body.data(), body.size(),
              whole.data(), &size))
        throw std::runtime_error("no HMAC-SHA256");
    std::array<std::uint8_t, 16> cut{};
    std::copy_n(whole.begin(), cut.size(), cut.begin());
    return cut;
}

Bytes Codec::seal(const Payload& payload) {
    msgpack::sbuffer buffer;
    Packer to(buffer);
    const auto head = [&](std::uint32_t items, std::uint8_t kind) {
        to.pack_array(items);
        to.pack(name_).pack(life_).pack(++counter_).pack(kind);
    };
    if (const auto* const message = std::get_if<Message>(&payload)) {
        head(7, static_cast<std::uint8_t>(message->kind));
        to.pack(message->sequence).pack(message->target);
        pack(to, message->claims);
    } else {
        const Sync& sync = std::get<Sync>(payload);
        head(7, kSyncKind);
        to.pack(sync.digest).pack(sync.complete);
        pack(to, sync.claims);
    }
    const std::span body(reinterpret_cast<const std::uint8_t*>(buffer.data()), buffer.size());
    Bytes bytes{kVersion};
    const auto tag = mac(body);
    bytes.insert(bytes.end(), tag.begin(), tag.end());
    bytes.insert(bytes.end(), body.begin(), body.end());
    return bytes;
}

std::variant<Payload, Rejection, Unproven> Codec::open(std::span<const std::uint8_t> bytes,
                                                       std::size_t longest) {
    if (bytes.size() > longest) return Rejection::oversized;
    if (bytes.size() <= kSealed) return Rejection::malformed;
    if (bytes[0] != kVersion) return Rejection::version;
    const auto body = bytes.subspan(kSealed);
    const auto tag = mac(body);
    if (CRYPTO_memcmp(tag.data(), bytes.data() + 1, tag.size()) != 0) return Rejection::forged;
    try {
        // Limits in the sender's measure: nothing in a message of this size holds more items than bytes.
        const msgpack::unpack_limit limit(body.size(), 0, kLongestText, 0, 0, 4);
        const msgpack::object_handle handle =
            msgpack::unpack(reinterpret_cast<const char*>(body.data()), body.size(), nullptr, nullptr, limit);
        Reader in(handle.get());
        const std::string from = in.text();
        const std::uint64_t life = in.number(), counter = in.number(), kind = in.number();
        if (from.empty()) return Rejection::malformed;
        Payload payload;
        if (kind == kSyncKind) {
            Sync sync;
            sync.from = from;
            sync.digest = in.number();
            sync.complete = in.object().as<bool>();
            sync.claims = read_claims(in.object());
            payload = std::move(sync);
        } else {
            if (kind > static_cast<std::uint64_t>(Message::Kind::gossip)) return Rejection::malformed;
            Message message;
            message.kind = static_cast<Message::Kind>(kind);
            message.from = from;
            message.sequence = in.number();
            message.target = in.text();
            message.claims = read_claims(in.object());
            payload = std::move(message);
        }
        switch (judge(from, life, counter)) {
            case KnownLives::Verdict::fresh:
                return payload;
            case KnownLives::Verdict::unproven:
                return Unproven{from, life, counter, std::move(payload)};
            case KnownLives::Verdict::replayed:
                break;
        }
        return Rejection::replayed;
    } catch (const std::exception&) {
        return Rejection::malformed;
    }
}

void Codec::take_life(const Unproven& proof) { known_[proof.from].prove(proof.life, proof.counter); }

KnownLives::Verdict Codec::judge(const std::string& name, std::uint64_t life, std::uint64_t counter) {
    const bool came_back = name == name_ && life == life_;
    if (came_back) return KnownLives::Verdict::replayed;
    if (!known_.contains(name) && known_.size() >= kNames) return KnownLives::Verdict::replayed;
    return known_[name].judge(life, counter);
}

}  // namespace mothring::cluster
