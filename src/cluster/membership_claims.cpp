// Processing of claims about other members and about this member.
#include <algorithm>

#include "cluster/membership.hpp"

namespace mothring::cluster {

namespace {

// Number of intervals between state exchanges during which claims of an earlier process instance may still
// arrive.
constexpr double kSettlingSyncs = 2;

}  // namespace

void Membership::merge(Millis now, const std::vector<Claim>& claims, const std::string& sender,
                       Effects& effects) {
    for (Claim claim : claims) {
        if (claim.state == State::dead) {
            if (!member(claim.name)) continue;
            claim.state = State::suspect;
            claim.by = sender;
        }
        apply(now, claim, effects);
    }
    has_merged_ = true;
}

void Membership::apply(Millis now, const Claim& claim, Effects& effects) {
    if (claim.name.empty()) return;
    if (claim.name == self_.name) return apply_to_self(now, claim, effects);
    Member* const member = table_.find(claim.name);
    if (!member) return add(now, claim, effects);
    const bool same_suspicion =
        member->suspicion && claim.state == State::suspect && claim.incarnation == member->claim.incarnation;
    if (same_suspicion) return confirm(*member, claim);
    if (!overrides(claim, member->claim)) return;
    switch (claim.state) {
        case State::alive:
            return revive(now, *member, claim, effects);
        case State::suspect:
            return suspect(now, *member, claim, effects);
        case State::dead:
        case State::left:
            return declare_dead_or_left(now, *member, claim, effects);
    }
}

// ---- This member

void Membership::apply_to_self(Millis now, const Claim& claim, Effects& effects) {
    if (is_silent() || claim.incarnation < self_.incarnation) return;
    if (claim.state != State::alive) return refute(claim, effects);
    if (claim.instance_id != self_.instance_id) resolve_name_conflict(now, claim, effects);
}

// Decides between two process instances with the same name. An earlier instance has ended. Of two instances
// with the same incarnation, the one with the greater ID keeps the name.
void Membership::resolve_name_conflict(Millis now, const Claim& claim, Effects& effects) {
    const bool wins_tie = claim.incarnation == self_.incarnation && self_.instance_id > claim.instance_id;
    if (wins_tie || is_earlier_instance(now, claim)) {
        self_.incarnation = claim.incarnation + 1;
        dissemination_.enqueue(self_);
        return;
    }
    phase_ = Phase::superseded;
    prober_.cancel();
    effects.changes.push_back({"superseded", self_.name, claim.incarnation, ""});
}

// Returns whether a claim is from an earlier process instance of this member. Before this instance has merged
// any state, it is the later one. Afterwards, claims of an earlier instance may still arrive through members
// that it has not merged with. If the wall clock was stepped back in between, the earlier instance has the
// greater incarnation or ID, but it had the address that this process has now. The address is considered for
// a limited time only, because an advertised address may pass to another process. By the end of that time,
// complete states have reached all members.
bool Membership::is_earlier_instance(Millis now, const Claim& claim) const {
    if (!has_merged_) return true;
    const Millis settled_at = started_at_ + kSettlingSyncs * sync_periods() * parameters_.period;
    return claim.udp == self_.udp && (phase_ == Phase::starting || now < settled_at);
}

// Refutes a claim that this member, or an earlier process instance of it, is not alive, with a greater
// incarnation (SWIM 4.2).
void Membership::refute(const Claim& claim, Effects& effects) {
    self_.incarnation = claim.incarnation + 1;
    if (claim.instance_id == self_.instance_id) {
        ++counters_.accused;
        local_health_.adjust(1);
        effects.changes.push_back({"accused", self_.name, self_.incarnation, claim.by});
    }
    dissemination_.enqueue(self_);
}

// ---- The others

// Adds an unknown member. A claim that an unknown member is dead or has left is ignored.
void Membership::add(Millis now, const Claim& claim, Effects& effects) {
    if (!is_present(claim.state) || claim.udp.empty() || table_.size() >= parameters_.max_members) return;
    Member& member = table_.insert({claim, now});
    member.claim.state = State::alive;
    prober_.add(claim.name, random_);
    effects.changes.push_back({"joined", claim.name, claim.incarnation, ""});
    dissemination_.enqueue(member.claim);
    if (claim.state == State::suspect) suspect(now, member, claim, effects);
}

void Membership::revive(Millis now, Member& member, const Claim& claim, Effects& effects) {
    const State before = member.claim.state;
    const bool is_other_instance = claim.instance_id != member.claim.instance_id;
    if (before == State::suspect && !is_other_instance) ++counters_.refuted;
    member = Member{claim, now};
    if (!is_present(before) || is_other_instance)
        effects.changes.push_back({"rejoined", claim.name, claim.incarnation, ""});
    else if (before == State::suspect)
        effects.changes.push_back({"refuted", claim.name, claim.incarnation, ""});
    dissemination_.enqueue(claim);
}

// Only accusations that shorten the timeout are disseminated further.
void Membership::confirm(Member& member, const Claim& claim) {
    const unsigned wanted = parameters_.confirmations_wanted(table_.present());
    if (member.suspicion->confirm(claim.by, wanted)) dissemination_.enqueue(claim);
}

void Membership::suspect(Millis now, Member& member, const Claim& claim, Effects& effects) {
    ++counters_.suspicions;
    member.claim.incarnation = claim.incarnation;
    member.claim.state = State::suspect;
    member.claim.by = claim.by;
    member.suspicion = Suspicion(claim.by, now);
    member.since = now;
    effects.changes.push_back({"suspect", member.claim.name, claim.incarnation, claim.by});
    dissemination_.enqueue(member.claim);
    if (claim.by == self_.name) next_accused_ping_ = std::max(next_accused_ping_, now);
}

void Membership::declare_dead_or_left(Millis now, Member& member, const Claim& claim, Effects& effects) {
    member.claim.incarnation = claim.incarnation;
    member.claim.state = claim.state;
    member.claim.by = claim.by;
    member.since = now;
    member.expected = true;
    member.suspicion.reset();
    effects.changes.push_back(
        {claim.state == State::left ? "left" : "dead", claim.name, claim.incarnation, claim.by});
    dissemination_.enqueue(member.claim);
}

}  // namespace mothring::cluster
