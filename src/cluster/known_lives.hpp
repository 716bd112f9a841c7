/// @file
/// Replay protection: which lives of one name have been met, and which counters of each were taken. A process
/// makes its life from its wall clock, so that a later life is mostly greater, and a greater one is taken at
/// once. A lesser one that is unknown may be a recording, or a process whose clock was stepped back: it is
/// taken only after it was proven to be present.
#pragma once

#include <algorithm>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace mothring::cluster {

/// The window of RFC 4303, 3.4.3, over the counters of one life: each is taken once.
class ReplayWindow {
public:
    /// Takes any counter.
    ReplayWindow() = default;
    /// Takes only counters greater than `counter`.
    static ReplayWindow starting_after(std::uint64_t counter) {
        ReplayWindow window;
        window.highest_ = counter;
        window.seen_.set();
        return window;
    }

    /// Takes a counter.
    /// @return whether it is new: not taken before, and less than kSize below the highest.
    bool take(std::uint64_t counter) {
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

/// The lives of one name; a bounded number of them is remembered.
class KnownLives {
public:
    /// On one message.
    enum class Verdict {
        fresh,
        replayed,  ///< Taken before, or of a life that greater ones have replaced.
        unproven,  ///< Of an unknown life that is not greater than those met before.
    };

    /// Judges a message by its life and counter, and takes the counter where the verdict is `fresh`.
    Verdict judge(std::uint64_t instance_id, std::uint64_t counter) {
        if (!kept_.contains(instance_id)) {
            if (needs_proof(instance_id))
                return is_replaced(instance_id) ? Verdict::replayed : Verdict::unproven;
            keep(instance_id, {});
        }
        return kept_.at(instance_id).window.take(counter) ? Verdict::fresh : Verdict::replayed;
    }
    /// Takes the messages of an unproven life from now on, as its process has shown to be present.
    /// @param counter  of the message that has shown it; none from before is taken, as it may be a recording.
    void prove(std::uint64_t instance_id, std::uint64_t counter) {
        if (kept_.contains(instance_id)) return;
        keep(instance_id, {ReplayWindow::starting_after(counter), true});
    }

private:
    static constexpr std::size_t kKept = 2;      // lives whose messages are taken
    static constexpr std::size_t kReplaced = 8;  // lives remembered after that

    struct Kept {
        ReplayWindow window;
        bool proven = false;
    };

    bool needs_proof(std::uint64_t instance_id) const {
        return kept_.size() == kKept && instance_id <= proof_limit_;
    }
    bool is_replaced(std::uint64_t instance_id) const {
        return std::find(replaced_.begin(), replaced_.end(), instance_id) != replaced_.end();
    }
    void keep(std::uint64_t instance_id, const Kept& kept) {
        if (kept_.size() == kKept) drop_least();
        kept_.emplace(instance_id, kept);
        /// It never falls, so that no life that was dropped is ever taken again without a proof.
        if (kept_.size() == kKept) proof_limit_ = std::max(proof_limit_, kept_.begin()->first);
    }
    /// One that was proven may have to make place for a recording of a greater life never met before: it is
    /// not remembered as replaced, and may be proven again.
    void drop_least() {
        const auto least = kept_.begin();
        if (!least->second.proven) replaced_.push_back(least->first);
        if (replaced_.size() > kReplaced) replaced_.pop_front();
        kept_.erase(least);
    }

    std::map<std::uint64_t, Kept> kept_;
    std::uint64_t proof_limit_ = 0;  // unknown lives up to here need a proof, once kKept are kept
    std::deque<std::uint64_t> replaced_;
};

}  // namespace mothring::cluster
