// How claims change what this member holds of the others and says of itself.
#include <algorithm>

#include "cluster/membership.hpp"

namespace mothring::cluster {

namespace {

// Intervals between state exchanges in which claims of an earlier life may still arrive.
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
            return declare_gone(now, *member, claim, effects);
    }
}

// ---- This member

void Membership::apply_to_self(Millis now, const Claim& claim, Effects& effects) {
    if (is_silent() || claim.incarnation < self_.incarnation) return;
    if (claim.state != State::alive) return refute(claim, effects);
    if (claim.instance_id != self_.instance_id) contest_name(now, claim, effects);
}

// Another life has the name. An earlier one is over; of two with the same incarnation the lesser life is
// over.
void Membership::contest_name(Millis now, const Claim& claim, Effects& effects) {
    const bool wins_tie = claim.incarnation == self_.incarnation && self_.instance_id > claim.instance_id;
    if (wins_tie || is_earlier_life(now, claim)) {
        self_.incarnation = claim.incarnation + 1;
        dissemination_.enqueue(self_);
        return;
    }
    phase_ = Phase::superseded;
    prober_.cancel();
    effects.changes.push_back({"superseded", self_.name, claim.incarnation, ""});
}

// Before this life has merged any state it is the later one. Afterwards claims of an earlier life may still
// arrive, through members that were not merged with at first. Where the wall clock was stepped back in
// between, the earlier life has the greater incarnation or life; but it had the address that this process has
// now. This holds for a limited time only, as an advertised address may pass from process to process; by then
// complete states have reached everybody.
bool Membership::is_earlier_life(Millis now, const Claim& claim) const {
    if (!has_merged_) return true;
    const Millis settled_at = started_at_ + kSettlingSyncs * sync_periods() * parameters_.period;
    return claim.udp == self_.udp && (phase_ == Phase::starting || now < settled_at);
}

// Answers a claim that this member, or an earlier life of it, is not alive, by a greater incarnation
// (SWIM 4.2).
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

// A member that is not known and gone already is ignored.
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
    const bool is_other_life = claim.instance_id != member.claim.instance_id;
    if (before == State::suspect && !is_other_life) ++counters_.refuted;
    member = Member{claim, now};
    if (!is_present(before) || is_other_life)
        effects.changes.push_back({"rejoined", claim.name, claim.incarnation, ""});
    else if (before == State::suspect)
        effects.changes.push_back({"refuted", claim.name, claim.incarnation, ""});
    dissemination_.enqueue(claim);
}

// Only as many accusations are passed on as shorten the timeout.
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

void Membership::declare_gone(Millis now, Member& member, const Claim& claim, Effects& effects) {
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
