/// @file
/// Decides which messages of others may be acted on, and challenges the senders of those that may be
/// recordings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>

#include "cluster/codec.hpp"
#include "cluster/freshness_challenges.hpp"
#include "cluster/membership.hpp"
#include "cluster/peer_addresses.hpp"
#include "cluster/settings.hpp"
#include "cluster/traffic_counters.hpp"
#include "net/clock.hpp"

namespace mothring::cluster {

/// Opens the envelopes of what was received, and counts what is rejected.
class MessageVerifier {
public:
    /// What it goes by. All references must outlive the verifier.
    struct Inputs {
        const net::Clock& clock;
        const Membership& membership;
        const PeerAddresses& addresses;
        Codec& codec;
        TrafficCounters& traffic;
    };
    /// What it reports and sends.
    struct Hooks {
        /// @param from  the address of the sender, or "tcp".
        std::function<void(Rejection, const std::string& from)> rejected;
        std::function<void(const Message&, const Udp::endpoint& address)> send;
    };

    /// @param lifetime  for an answer to a challenge.
    MessageVerifier(const Inputs& inputs, Millis lifetime, Hooks hooks);
    MessageVerifier(const MessageVerifier&) = delete;
    MessageVerifier& operator=(const MessageVerifier&) = delete;

    /// Opens an envelope. Where its sender's life has yet to be proven, the sender is challenged.
    /// @param longest  bytes that the envelope may have.
    /// @param from  the address of the sender, or "tcp"; for the log.
    /// @param sender  where a challenge goes. None: not known; it goes where the sender's name is known to
    ///     listen.
    /// @return what may be acted on. None: it was rejected.
    std::optional<Payload> open(std::span<const std::uint8_t> bytes, std::size_t longest,
                                const std::string& from, const std::optional<Udp::endpoint>& sender);
    /// Counts and reports a rejected message.
    void reject(Rejection why, const std::string& from);

private:
    bool proves_its_life(const Unproven& unproven);
    void challenge(const std::string& name, const std::optional<Udp::endpoint>& sender);
    std::uint64_t unpredictable_sequence();

    Inputs in_;
    Hooks hooks_;
    std::random_device entropy_;
    FreshnessChallenges challenges_;
};

}  // namespace mothring::cluster
