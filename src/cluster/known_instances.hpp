/// @file
/// Replay protection by process instance and message counter of each member name. A process derives its
/// instance ID from its wall clock. A later instance therefore usually has a greater ID, and a greater ID is
/// accepted immediately. A lower unknown ID may be a replay, or a process whose clock was stepped back; it is
/// accepted only after the instance is proven to be running.
#pragma once

#include <algorithm>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace mothring::cluster {

/// The window of RFC 4303, 3.4.3, over the counters of one process instance. Each counter is accepted once.
class ReplayWindow {
public:
    /// Accepts any counter.
    ReplayWindow() = default;
    /// Returns a window that accepts only counters greater than `counter`.
    static ReplayWindow starting_after(std::uint64_t counter) {
        ReplayWindow window;
        window.highest_ = counter;
        window.seen_.set();
        return window;
    }

    /// Records a counter.
    /// @return whether it is accepted: not recorded before, and less than kSize below the highest.
    bool record(std::uint64_t counter) {
        if (counter > highest_) {
            advance(counter);
            return true;
        }
        if (highest_ - counter >= kSize || seen_.test(counter % kSize)) return false;
        seen_.set(counter % kSize);
        return true;
    }

private:
    static constexpr std::size_t kSize = 1024;  // counters

    void advance(std::uint64_t counter) {
        if (counter - highest_ >= kSize) {
            seen_.reset();
        } else {
            for (std::uint64_t skipped = highest_ + 1; skipped < counter; ++skipped)
                seen_.reset(skipped % kSize);
        }
        highest_ = counter;
        seen_.set(counter % kSize);
    }

    std::uint64_t highest_ = 0;
    std::bitset<kSize> seen_;  // by counter modulo kSize
};

/// Records the process instances of one member name; their number is bounded.
class KnownInstances {
public:
    /// Classification of one message.
    enum class Verdict {
        fresh,
        replayed,  ///< Counter accepted before, or instance replaced by greater ones.
        unproven,  ///< Unknown instance whose ID is not greater than the accepted ones.
    };

    /// Classifies a message by its instance ID and counter, and records the counter if the result is `fresh`.
    Verdict classify(std::uint64_t instance_id, std::uint64_t counter) {
        if (!accepted_.contains(instance_id)) {
            if (needs_proof(instance_id))
                return is_replaced(instance_id) ? Verdict::replayed : Verdict::unproven;
            accept(instance_id, {});
        }
        return accepted_.at(instance_id).window.record(counter) ? Verdict::fresh : Verdict::replayed;
    }
    /// Accepts messages of an instance that has been proven to be running.
    /// @param counter  counter of the message that is the proof; earlier messages are rejected, as they may
    ///     be replayed.
    void accept_proven(std::uint64_t instance_id, std::uint64_t counter) {
        if (accepted_.contains(instance_id)) return;
        accept(instance_id, {ReplayWindow::starting_after(counter), true});
    }

private:
    static constexpr std::size_t kMaxAccepted = 2;  // instances whose messages are accepted
    static constexpr std::size_t kMaxReplaced = 8;  // replaced instances that are remembered

    struct Accepted {
        ReplayWindow window;
        bool proven = false;
    };

    bool needs_proof(std::uint64_t instance_id) const {
        return accepted_.size() == kMaxAccepted && instance_id <= proof_limit_;
    }
    bool is_replaced(std::uint64_t instance_id) const {
        return std::find(replaced_.begin(), replaced_.end(), instance_id) != replaced_.end();
    }
    void accept(std::uint64_t instance_id, const Accepted& accepted) {
        if (accepted_.size() == kMaxAccepted) drop_lowest();
        accepted_.emplace(instance_id, accepted);
        /// The limit never decreases, so that a dropped instance is accepted again only after a proof.
        if (accepted_.size() == kMaxAccepted) proof_limit_ = std::max(proof_limit_, accepted_.begin()->first);
    }
    /// A proven instance may be displaced by a replayed message of a greater instance that this process never
    /// met. It is therefore not recorded as replaced, and may be proven again.
    void drop_lowest() {
        const auto lowest = accepted_.begin();
        if (!lowest->second.proven) replaced_.push_back(lowest->first);
        if (replaced_.size() > kMaxReplaced) replaced_.pop_front();
        accepted_.erase(lowest);
    }

    std::map<std::uint64_t, Accepted> accepted_;
    std::uint64_t proof_limit_ = 0;  // once kMaxAccepted are accepted, unknown IDs up to this need a proof
    std::deque<std::uint64_t> replaced_;
};

}  // namespace mothring::cluster
