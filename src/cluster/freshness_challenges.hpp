/// @file
/// Challenges to the senders of authentic messages that may be replayed (Unproven). A challenge is a ping
/// with an unpredictable sequence number: an ack with that number shows that its sender is running now. The
/// number of challenges is bounded in total and over time, so that replayed messages can't make this member a
/// source of traffic.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "mothring/balancer.hpp"

namespace mothring::cluster {

/// Holds the pending challenges. It uses no socket and no clock.
class FreshnessChallenges {
public:
    /// Draws an unpredictable sequence number, uniformly from all 64-bit values.
    using DrawSequence = std::function<std::uint64_t()>;
    /// Whether the challenged address is the known address of a member. The sender of a replayed message can
    /// choose an unknown address freely, so these have a limit of their own and can't use up the challenges
    /// to members.
    enum class Receiver { member, unknown };

    static constexpr std::size_t kMaxToMembers = 64;  // pending at a time
    static constexpr std::size_t kMaxToUnknown = 16;  // pending at a time

    /// @param lifetime  time allowed for an answer; an address is challenged at most once in this time.
    FreshnessChallenges(Millis lifetime, DrawSequence draw) : lifetime_(lifetime), draw_(std::move(draw)) {}

    /// Registers a challenge to `name` at `address`.
    /// @return the sequence number of the ping to send, or none if a limit is reached.
    std::optional<std::uint64_t> issue(Millis now, const std::string& name, const std::string& address,
                                       Receiver receiver) {
        std::erase_if(challenges_, [&](const auto& entry) { return entry.second.ends_at <= now; });
        if (challenges_.contains(address) || count(receiver) >= limit_for(receiver)) return std::nullopt;
        const std::uint64_t sequence = draw_();
        challenges_[address] = {name, receiver, now + lifetime_, sequence};
        return sequence;
    }
    /// Returns whether an ack by `name` answers a pending challenge to it. Each challenge is answered once.
    bool answer(Millis now, const std::string& name, std::uint64_t sequence) {
        for (auto& [address, challenge] : challenges_) {
            if (challenge.ends_at <= now || challenge.name != name || challenge.sequence != sequence)
                continue;
            challenge.sequence.reset();
            return true;
        }
        return false;
    }

private:
    struct Challenge {
        std::string name;
        Receiver receiver = Receiver::unknown;
        Millis ends_at = 0;
        std::optional<std::uint64_t> sequence;  // none once answered
    };

    static std::size_t limit_for(Receiver receiver) {
        return receiver == Receiver::member ? kMaxToMembers : kMaxToUnknown;
    }
    std::size_t count(Receiver receiver) const {
        const auto counted = [&](const auto& entry) { return entry.second.receiver == receiver; };
        return static_cast<std::size_t>(std::count_if(challenges_.begin(), challenges_.end(), counted));
    }

    Millis lifetime_;
    DrawSequence draw_;
    std::map<std::string, Challenge> challenges_;  // by address
};

}  // namespace mothring::cluster
