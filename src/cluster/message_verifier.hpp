/// @file
/// Decides which received messages may be processed, and challenges the senders of messages that may be
/// replayed.
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

/// Opens the envelopes of received messages, and counts the rejected ones.
class MessageVerifier {
public:
    /// Objects that the verifier uses. All references must outlive it.
    struct Inputs {
        const net::Clock& clock;
        const Membership& membership;
        const PeerAddresses& addresses;
        Codec& codec;
        TrafficCounters& traffic;
    };
    /// Functions called to report and to send.
    struct Hooks {
        /// @param from  the sender's address, or "tcp" for a state exchange.
        std::function<void(Rejection, const std::string& from)> rejected;
        std::function<void(const Message&, const Udp::endpoint& address)> send;
    };

    /// @param lifetime  time allowed for the answer to a challenge.
    MessageVerifier(const Inputs& inputs, Millis lifetime, Hooks hooks);
    MessageVerifier(const MessageVerifier&) = delete;
    MessageVerifier& operator=(const MessageVerifier&) = delete;

    /// Opens an envelope. If the sender's process instance must be proven first, the sender is challenged.
    /// @param max_bytes  maximum size of the envelope.
    /// @param from  the sender's address, or "tcp" for a state exchange; for the log.
    /// @param sender  address to challenge. If there is none, the known address of the named sender is used.
    /// @return the payload if it may be processed, or none if it was rejected.
    std::optional<Payload> open(std::span<const std::uint8_t> bytes, std::size_t max_bytes,
                                const std::string& from, const std::optional<Udp::endpoint>& sender);
    /// Counts and reports a rejected message.
    void reject(Rejection reason, const std::string& from);

private:
    bool proves_freshness(const Unproven& unproven);
    void challenge(const std::string& name, const std::optional<Udp::endpoint>& sender);
    std::uint64_t unpredictable_sequence();

    Inputs inputs_;
    Hooks hooks_;
    std::random_device entropy_;
    FreshnessChallenges challenges_;
};

}  // namespace mothring::cluster
