#include "cluster/message_verifier.hpp"

#include <utility>
#include <variant>

#include "net/address.hpp"

namespace mothring::cluster {

MessageVerifier::MessageVerifier(const Inputs& inputs, Millis lifetime, Hooks hooks)
    : in_(inputs),
      hooks_(std::move(hooks)),
      challenges_(lifetime, [this] { return unpredictable_sequence(); }) {}

std::optional<Payload> MessageVerifier::open(std::span<const std::uint8_t> bytes, std::size_t longest,
                                             const std::string& from,
                                             const std::optional<Udp::endpoint>& sender) {
    auto opened = in_.codec.open(bytes, longest);
    if (auto* const payload = std::get_if<Payload>(&opened)) return std::move(*payload);
    if (const auto* const why = std::get_if<Rejection>(&opened)) {
        reject(*why, from);
        return std::nullopt;
    }
    auto& unproven = std::get<Unproven>(opened);
    if (!proves_its_life(unproven)) {
        reject(Rejection::replayed, from);
        challenge(unproven.from, sender);
        return std::nullopt;
    }
    in_.codec.take_life(unproven);
    return std::move(unproven.payload);
}

void MessageVerifier::reject(Rejection why, const std::string& from) {
    ++in_.traffic.rejected[static_cast<std::size_t>(why)];
    hooks_.rejected(why, from);
}

bool MessageVerifier::proves_its_life(const Unproven& unproven) {
    const auto* const message = std::get_if<Message>(&unproven.payload);
    return message && message->kind == Message::Kind::ack &&
           challenges_.answer(in_.clock.now(), unproven.from, message->sequence);
}

void MessageVerifier::challenge(const std::string& name, const std::optional<Udp::endpoint>& sender) {
    const std::string& self = in_.membership.self().name;
    if (in_.membership.is_silent() || name == self) return;
    const auto known = in_.addresses.udp(name);
    const auto address = sender ? sender : known;
    if (!address) return;
    using Receiver = FreshnessChallenges::Receiver;
    const Receiver receiver = address == known ? Receiver::member : Receiver::stranger;
    const auto sequence = challenges_.issue(in_.clock.now(), name, net::format_endpoint(*address), receiver);
    if (sequence) hooks_.send({Message::Kind::ping, *sequence, self, name, {}}, *address);
}

// From the system's own source, as no challenge may be foretold from earlier ones.
std::uint64_t MessageVerifier::unpredictable_sequence() {
    return std::uniform_int_distribution<std::uint64_t>()(entropy_);
}

}  // namespace mothring::cluster
