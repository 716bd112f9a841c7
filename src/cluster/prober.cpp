#include "cluster/prober.hpp"

#include <algorithm>
#include <utility>

namespace mothring::cluster {

int Prober::Probe::health_penalty() const {
    if (nacks_due == 0) return 1;
    return static_cast<int>(nacks_due - std::min(nacks, nacks_due));
}

void Prober::add(const std::string& name, std::mt19937_64& random) {
    std::uniform_int_distribution<std::size_t> position(0, round_.size());
    round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(position(random)), name);
}

Millis Prober::next() const {
    if (!probe_) return next_at_;
    return std::min(next_at_, probe_->indirect ? probe_->fails_at : probe_->timeout_at);
}

void Prober::postpone(Millis stalled) {
    next_at_ += stalled;
    if (!probe_) return;
    probe_->timeout_at += stalled;
    probe_->fails_at += stalled;
}

// Returns the next member to probe, or an empty string if no other member is present. The order is shuffled
// again for each round, so that every member is probed once within a round (SWIM 4.3).
std::string Prober::next_target(const MemberTable& table, std::mt19937_64& random) {
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!round_.empty()) {
            std::string name = std::move(round_.back());
            round_.pop_back();
            if (table.find_present(name)) return name;
        }
        round_ = table.sample(table.size(), {}, random);
    }
    return {};
}

const Prober::Probe* Prober::begin(Millis now, Millis multiplier, std::uint64_t& sequence,
                                   const MemberTable& table, std::mt19937_64& random) {
    next_at_ = now + period_ * multiplier;
    std::string target = next_target(table, random);
    if (target.empty()) return nullptr;
    probe_ = Probe{};
    probe_->target = std::move(target);
    probe_->sequence = ++sequence;
    probe_->timeout_at = now + timeout_ * multiplier;
    probe_->fails_at = next_at_;
    return &*probe_;
}

Prober::Probe* Prober::take_timeout(Millis now) {
    if (!probe_ || probe_->indirect || probe_->timeout_at > now) return nullptr;
    probe_->indirect = true;
    return &*probe_;
}

std::optional<Prober::Probe> Prober::take_failed(Millis now) {
    if (!probe_ || probe_->fails_at > now) return std::nullopt;
    return std::exchange(probe_, std::nullopt);
}

bool Prober::acknowledge(std::uint64_t sequence) {
    if (!probe_ || probe_->sequence != sequence) return false;
    probe_.reset();
    return true;
}

void Prober::nack(std::uint64_t sequence) {
    if (probe_ && probe_->sequence == sequence) ++probe_->nacks;
}

}  // namespace mothring::cluster
