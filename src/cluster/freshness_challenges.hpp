/// @file
/// Challenges to senders of authentic messages that may be recordings (Unproven). A challenge is an ordinary
/// ping whose sequence number nobody can foretell: whoever acknowledges just that number is present now. The
/// number of challenges in any time is bounded, so that replayed messages can't make this member a source of
/// traffic.
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

/// The challenges under way. It has no socket or clock.
class FreshnessChallenges {
public:
    /// Draws a sequence number uniformly from all of 64 bits, unpredictable to others.
    using DrawSequence = std::function<std::uint64_t()>;
    /// Whose address a challenge goes to. Anybody may have chosen the address of a stranger; strangers have a
    /// limit of their own, and can't use up the challenges to members.
    enum class Receiver { member, stranger };

    static constexpr std::size_t kMostToMembers = 64;    // under way at a time
    static constexpr std::size_t kMostToStrangers = 16;  // under way at a time

    /// @param lifetime  for an answer; no address is challenged more often.
    FreshnessChallenges(Millis lifetime, DrawSequence draw) : lifetime_(lifetime), draw_(std::move(draw)) {}

    /// Begins a challenge to `name` at `address`.
    /// @return the sequence number of the ping to send. None: a limit is reached.
    std::optional<std::uint64_t> issue(Millis now, const std::string& name, const std::string& address,
                                       Receiver receiver) {
        std::erase_if(challenges_, [&](const auto& entry) { return entry.second.ends_at <= now; });
        if (challenges_.contains(address) || count(receiver) >= most(receiver)) return std::nullopt;
        const std::uint64_t sequence = draw_();
        challenges_[address] = {name, receiver, now + lifetime_, sequence};
        return sequence;
    }
    /// Whether an ack by `name` answers a challenge to it that is under way; no other ack does after that.
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
        Receiver receiver = Receiver::stranger;
        Millis ends_at = 0;
        std::optional<std::uint64_t> sequence;  // none: answered
    };

    static std::size_t most(Receiver receiver) {
        return receiver == Receiver::member ? kMostToMembers : kMostToStrangers;
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
