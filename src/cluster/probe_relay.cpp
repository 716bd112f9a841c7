#include "cluster/probe_relay.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mothring::cluster {

namespace {

// Fraction of the ack timeout after which a nack is sent, so that the nack arrives before the requester's
// probe fails.
constexpr double kNackFraction = 0.8;

}  // namespace

ProbeRelay::ProbeRelay(const Parameters& parameters)
    : period_(parameters.period),
      nack_after_(parameters.period * parameters.timeout_fraction * kNackFraction),
      max_pending_(parameters.max_members) {}

void ProbeRelay::add(Millis now, Request request) {
    pending_.push_back({std::move(request), now + nack_after_, now + period_});
}

Millis ProbeRelay::next() const {
    Millis at = std::numeric_limits<Millis>::infinity();
    for (const Pending& pending : pending_)
        at = std::min(at, pending.nack_sent ? pending.ends_at : pending.nack_at);
    return at;
}

void ProbeRelay::postpone(Millis stalled) {
    for (Pending& pending : pending_) {
        pending.nack_at += stalled;
        pending.ends_at += stalled;
    }
}

std::vector<ProbeRelay::Request> ProbeRelay::take_nacks(Millis now) {
    std::vector<Request> due;
    for (Pending& pending : pending_) {
        if (pending.nack_sent || pending.nack_at > now) continue;
        pending.nack_sent = true;
        due.push_back(pending.request);
    }
    std::erase_if(pending_, [&](const Pending& pending) { return pending.ends_at <= now; });
    return due;
}

std::optional<ProbeRelay::Request> ProbeRelay::acknowledge(std::uint64_t sequence) {
    const auto at = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& pending) {
        return pending.request.sequence == sequence;
    });
    if (at == pending_.end()) return std::nullopt;
    Request request = std::move(at->request);
    pending_.erase(at);
    return request;
}

}  // namespace mothring::cluster
