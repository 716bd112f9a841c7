#include "cluster/message_verifier.hpp"

#include <utility>
#include <variant>

#include "net/address.hpp"

namespace mothring::cluster {

MessageVerifier::MessageVerifier(const Inputs& inputs, Millis lifetime, Hooks hooks)
    : inputs_(inputs),
      hooks_(std::move(hooks)),
      challenges_(lifetime, [this] { return unpredictable_sequence(); }) {}

std::optional<Payload> MessageVerifier::open(std::span<const std::uint8_t> bytes, std::size_t max_bytes,
                                             const std::string& from,
                                             const std::optional<Udp::endpoint>& sender) {
    auto opened = inputs_.codec.open(bytes, max_bytes);
    if (auto* const payload = std::get_if<Payload>(&opened)) return std::move(*payload);
    if (const auto* const reason = std::get_if<Rejection>(&opened)) {
        reject(*reason, from);
        return std::nullopt;
    }
    auto& unproven = std::get<Unproven>(opened);
    if (!proves_freshness(unproven)) {
        reject(Rejection::replayed, from);
        challenge(unproven.from, sender);
        return std::nullopt;
    }
    inputs_.codec.accept_instance(unproven);
    return std::move(unproven.payload);
}

void MessageVerifier::reject(Rejection reason, const std::string& from) {
    ++inputs_.traffic.rejected[static_cast<std::size_t>(reason)];
    hooks_.rejected(reason, from);
}

bool MessageVerifier::proves_freshness(const Unproven& unproven) {
    const auto* const message = std::get_if<Message>(&unproven.payload);
    return message && message->kind == Message::Kind::ack &&
           challenges_.answer(inputs_.clock.now(), unproven.from, message->sequence);
}

void MessageVerifier::challenge(const std::string& name, const std::optional<Udp::endpoint>& sender) {
    const std::string& self = inputs_.membership.self().name;
    if (inputs_.membership.is_silent() || name == self) return;
    const auto known = inputs_.addresses.udp(name);
    const auto address = sender ? sender : known;
    if (!address) return;
    using Receiver = FreshnessChallenges::Receiver;
    const Receiver receiver = address == known ? Receiver::member : Receiver::unknown;
    const auto sequence =
        challenges_.issue(inputs_.clock.now(), name, net::format_endpoint(*address), receiver);
    if (sequence) hooks_.send({Message::Kind::ping, *sequence, self, name, {}}, *address);
}

// The number is from the system's entropy source, so that a challenge can't be predicted from earlier ones.
std::uint64_t MessageVerifier::unpredictable_sequence() {
    return std::uniform_int_distribution<std::uint64_t>()(entropy_);
}

}  // namespace mothring::cluster
