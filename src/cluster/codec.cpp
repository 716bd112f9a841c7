#include "cluster/codec.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <utility>

namespace mothring::cluster {

namespace {

constexpr std::size_t kMaxNames = 4096;  // member names whose process instances are recorded

}  // namespace

const char* name_of(Rejection rejection) {
    constexpr const char* kNames[] = {"oversized", "version", "forged", "malformed", "replayed"};
    return kNames[static_cast<std::size_t>(rejection)];
}

Codec::Codec(std::string key, std::string name, std::uint64_t instance_id)
    : key_(std::move(key)), self_{std::move(name), instance_id, 0} {
    if (key_.size() < kMinKeyBytes)
        throw std::invalid_argument("cluster key has " + std::to_string(key_.size()) + " bytes, minimum is " +
                                    std::to_string(kMinKeyBytes));
}

Codec::Mac Codec::mac(std::span<const std::uint8_t> body) const {
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    if (!HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()), body.data(), body.size(),
              digest.data(), &size))
        throw std::runtime_error("OpenSSL could not compute an HMAC-SHA256");
    Mac truncated{};
    std::copy_n(digest.begin(), truncated.size(), truncated.begin());
    return truncated;
}

Bytes Codec::seal(const Payload& payload) {
    ++self_.counter;
    const Bytes body = encode(self_, payload);
    const Mac tag = mac(body);
    Bytes bytes;
    bytes.reserve(kEnvelopeHeaderBytes + body.size());
    bytes.push_back(kVersion);
    bytes.insert(bytes.end(), tag.begin(), tag.end());
    bytes.insert(bytes.end(), body.begin(), body.end());
    return bytes;
}

std::variant<Payload, Rejection, Unproven> Codec::open(std::span<const std::uint8_t> bytes,
                                                       std::size_t max_bytes) {
    if (bytes.size() > max_bytes) return Rejection::oversized;
    if (bytes.size() <= kEnvelopeHeaderBytes) return Rejection::malformed;
    if (bytes[0] != kVersion) return Rejection::version;
    const auto body = bytes.subspan(kEnvelopeHeaderBytes);
    const Mac tag = mac(body);
    if (CRYPTO_memcmp(tag.data(), bytes.data() + 1, tag.size()) != 0) return Rejection::forged;
    try {
        DecodedPayload decoded = decode(body);
        const Origin& origin = decoded.origin;
        switch (classify(origin)) {
            case KnownInstances::Verdict::fresh:
                return std::move(decoded.payload);
            case KnownInstances::Verdict::unproven:
                return Unproven{origin.name, origin.instance_id, origin.counter, std::move(decoded.payload)};
            case KnownInstances::Verdict::replayed:
                break;
        }
        return Rejection::replayed;
    } catch (const std::exception&) {
        return Rejection::malformed;
    }
}

void Codec::accept_instance(const Unproven& proof) {
    known_[proof.from].accept_proven(proof.instance_id, proof.counter);
}

KnownInstances::Verdict Codec::classify(const Origin& origin) {
    const bool is_own = origin.name == self_.name && origin.instance_id == self_.instance_id;
    if (is_own) return KnownInstances::Verdict::replayed;
    if (!known_.contains(origin.name) && known_.size() >= kMaxNames) return KnownInstances::Verdict::replayed;
    return known_[origin.name].classify(origin.instance_id, origin.counter);
}

}  // namespace mothring::cluster
