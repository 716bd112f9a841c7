#include "cluster/membership.hpp"

#include <algorithm>
#include <utility>

namespace mothring::cluster {

namespace {

constexpr double kLatePart =
    0.5;  // of the period: a tick later than this shows that this process was stalled

}  // namespace

Membership::Membership(Claim self, Parameters parameters, std::uint64_t seed)
    : self_(std::move(self)),
      parameters_(parameters),
      random_(seed),
      local_health_(parameters.awareness_most),
      prober_(parameters),
      probe_relay_(parameters) {
    self_.state = State::alive;
}

View Membership::view() const {
    View view = table_.view();
    view.stands = !superseded_;
    return view;
}

double Membership::sync_periods() const { return parameters_.sync_periods(table_.present()); }

std::vector<Claim> Membership::members() const {
    std::vector<Claim> all{self_};
    for (const auto& [name, member] : table_) all.push_back(member.claim);
    return all;
}

std::optional<Claim> Membership::member(const std::string& name) const {
    if (name == self_.name) return self_;
    const Member* const member = table_.find(name);
    return member ? std::optional(member->claim) : std::nullopt;
}

std::uint64_t Membership::digest() const { return digest_of(members()); }

// ---- Time

Millis Membership::next() const {
    Millis at = std::min({prober_.next(), probe_relay_.next(), anti_entropy_.next()});
    bool accusing = false;
    const std::size_t members = table_.present();
    for (const auto& [name, member] : table_) {
        if (!member.suspicion) continue;
        at = std::min(at, member.suspicion->expires_at(parameters_, members));
        accusing |= member.suspicion->accused_by(self_.name);
    }
    return accusing ? std::min(at, next_insist_) : at;
}

void Membership::tick(Millis now, Effects& effects) {
    if (left_ || superseded_) {
        prober_.begin_at(now + parameters_.period);
        anti_entropy_.begin_at(now + parameters_.period);
        return;
    }
    if (!started_) {
        started_ = true;
        // Spread over a period, so that members started together do not probe together.
        prober_.begin_at(now + parameters_.period * std::uniform_real_distribution<double>(0, 1)(random_));
        anti_entropy_.schedule_first(now, parameters_, random_);
        dissemination_.enqueue(self_);
    }
    // What others said while this process stood still is unread: nobody is failed for that time.
    const Millis late = now - next();
    if (late > parameters_.period * kLatePart) {
        ++counters_.late_ticks;
        local_health_.adjust(1);
        prober_.postpone(late);
        next_insist_ += late;
        table_.postpone_suspicions(late);
        probe_relay_.postpone(late);
    }
    for (const ProbeRelay::Request& request : probe_relay_.take_nacks(now))
        answer(Message::Kind::nack, request, effects);
    if (Prober::Probe* const probe = prober_.take_timeout(now)) ask_others(*probe, effects);
    if (const auto failed = prober_.take_failed(now)) probe_failed(now, *failed, effects);
    if (next_insist_ <= now) insist(now, effects);
    if (prober_.due(now)) probe_next(now, effects);
    for (const std::string& name : table_.expired_suspects(now, parameters_)) {
        Member& member = *table_.find(name);
        ++counters_.deaths;
        member.claim.by = self_.name;
        kill(now, member, State::dead, effects);
    }
    if (anti_entropy_.next() <= now) {
        effects.syncs = choose_partners(table_, random_);
        table_.expire(now, parameters_);
        anti_entropy_.schedule_next(now, parameters_, table_.present(), random_);
    }
}

// ---- Probes

void Membership::probe_next(Millis now, Effects& effects) {
    const Prober::Probe* const probe =
        prober_.begin(now, local_health_.multiplier(), sequence_, table_, random_);
    if (!probe) return;
    ++counters_.probes;
    send(probe->target, "", {Message::Kind::ping, probe->sequence, self_.name, probe->target, {}}, effects);
}

void Membership::ask_others(Prober::Probe& probe, Effects& effects) {
    for (const std::string& helper : table_.sample(parameters_.indirect, {probe.target}, random_)) {
        ++probe.nacks_due;
        send(helper, "", {Message::Kind::ping_request, probe.sequence, self_.name, probe.target, {}},
             effects);
    }
}

// An accuser goes on asking the one it accuses, twice a period: its accusation goes along (the buddy system),
// and the answer brings the refutation. Under loss the round's own probes come too seldom for that in a large
// fleet, and gossip alone may not get through in time both ways.
void Membership::insist(Millis now, Effects& effects) {
    next_insist_ = now + parameters_.period / 2;
    for (const std::string& name : table_.accused_by(self_.name))
        send(name, "", {Message::Kind::ping, ++sequence_, self_.name, name, {}}, effects);
}

void Membership::probe_failed(Millis now, const Prober::Probe& probe, Effects& effects) {
    ++counters_.probes_failed;
    local_health_.adjust(probe.health_penalty());
    Member* const member = table_.find(probe.target);
    if (!member || !is_present(member->claim.state)) return;
    Claim claim = member->claim;
    claim.state = State::suspect;
    claim.by = self_.name;
    accuse(now, *member, claim, effects);
}

// ---- Messages

// One that is suspected or taken for dead is told so first of all, so that it can refute.
void Membership::send(const std::string& to, const std::string& address, Message message, Effects& effects) {
    const Member* const receiver = table_.find(to);
    const bool doubted =
        receiver && (receiver->claim.state == State::suspect || receiver->claim.state == State::dead);
    message.claims = dissemination_.piggyback(doubted ? &receiver->claim : nullptr, parameters_.room,
                                              parameters_.transmits(table_.present()));
    effects.sends.push_back({to, address, std::move(message)});
}

void Membership::answer(Message::Kind kind, const ProbeRelay::Request& request, Effects& effects) {
    send(request.asker, request.address, {kind, request.asked_sequence, self_.name, request.asker, {}},
         effects);
}

void Membership::receive(Millis now, const Message& message, const std::string& address, Effects& effects) {
    if (superseded_ || message.from == self_.name) {
        // Another process with this member's name: only what it claims of the name counts.
        for (const Claim& claim : message.claims)
            if (claim.name == self_.name && !superseded_ && !left_) apply_to_self(claim, effects);
        return;
    }
    for (const Claim& claim : message.claims) apply(now, claim, effects);
    if (left_ || superseded_) return;
    switch (message.kind) {
        case Message::Kind::ping:
            if (message.target == self_.name)
                send(message.from, address,
                     {Message::Kind::ack, message.sequence, self_.name, message.from, {}}, effects);
            break;
        case Message::Kind::ping_request: {
            if (!table_.find(message.target) || probe_relay_.full()) break;
            const std::uint64_t sequence = ++sequence_;
            probe_relay_.add(now, {sequence, message.sequence, message.from, address});
            send(message.target, "", {Message::Kind::ping, sequence, self_.name, message.target, {}},
                 effects);
            break;
        }
        case Message::Kind::ack:
            if (prober_.acknowledge(message.sequence)) {
                local_health_.adjust(-1);
            } else if (const auto request = probe_relay_.acknowledge(message.sequence)) {
                answer(Message::Kind::ack, *request, effects);
            }
            break;
        case Message::Kind::nack:
            prober_.nack(message.sequence);
            break;
        case Message::Kind::gossip:
            break;
    }
}

// ---- Claims

// One never heard of that is no more is nobody's loss.
void Membership::add(Millis now, const Claim& claim, Effects& effects) {
    if (!is_present(claim.state) || claim.udp.empty() || table_.size() >= parameters_.members_most) return;
    Member& member = table_.insert({claim, now});
    member.claim.state = State::alive;
    prober_.add(claim.name, random_);
    effects.changes.push_back({"joined", claim.name, claim.incarnation, ""});
    dissemination_.enqueue(member.claim);
    if (claim.state == State::suspect) accuse(now, member, claim, effects);
}

void Membership::apply(Millis now, const Claim& claim, Effects& effects) {
    if (claim.name.empty()) return;
    if (claim.name == self_.name) return apply_to_self(claim, effects);
    Member* const member = table_.find(claim.name);
    if (!member) return add(now, claim, effects);
    Member& record = *member;
    const bool newer = claim.incarnation > record.claim.incarnation;
    if (!newer && claim.incarnation != record.claim.incarnation) return;
    switch (claim.state) {
        case State::alive: {
            if (!newer) return;
            const State before = record.claim.state;
            const bool reborn = claim.life != record.claim.life;
            if (before == State::suspect && !reborn) ++counters_.refuted;
            record = Member{claim, now};
            if (!is_present(before) || reborn)
                effects.changes.push_back({"rejoined", claim.name, claim.incarnation, ""});
            else if (before == State::suspect)
                effects.changes.push_back({"refuted", claim.name, claim.incarnation, ""});
            dissemination_.enqueue(claim);
            return;
        }
        case State::suspect:
            if (!is_present(record.claim.state) && !newer) return;
            return accuse(now, record, claim, effects);
        case State::dead:
        case State::left:
            if (claim.state <= record.claim.state && !newer) return;
            record.claim.incarnation = claim.incarnation;
            record.claim.by = claim.by;
            return kill(now, record, claim.state, effects);
    }
}

void Membership::accuse(Millis now, Member& record, const Claim& claim, Effects& effects) {
    if (record.suspicion && record.claim.incarnation == claim.incarnation) {
        // Another accuser confirms it; only as many are passed on as shorten the timeout.
        if (record.suspicion->confirm(claim.by, parameters_.confirmations_wanted(table_.present())))
            dissemination_.enqueue(claim);
        return;
    }
    ++counters_.suspicions;
    record.claim.incarnation = claim.incarnation;
    record.claim.state = State::suspect;
    record.claim.by = claim.by;
    record.suspicion = Suspicion(claim.by, now);
    record.since = now;
    effects.changes.push_back({"suspect", record.claim.name, claim.incarnation, claim.by});
    dissemination_.enqueue(record.claim);
    if (claim.by == self_.name) next_insist_ = std::max(next_insist_, now);
}

void Membership::kill(Millis now, Member& record, State state, Effects& effects) {
    record.claim.state = state;
    record.since = now;
    record.expected = true;
    record.suspicion.reset();
    effects.changes.push_back({state == State::left ? "left" : "dead", record.claim.name,
                               record.claim.incarnation, record.claim.by});
    dissemination_.enqueue(record.claim);
}

void Membership::apply_to_self(const Claim& claim, Effects& effects) {
    if (left_ || superseded_ || claim.incarnation < self_.incarnation) return;
    if (claim.state == State::alive) {
        if (claim.life == self_.life) return;
        // Another life has the name. Before this one has met anybody it is the later one; the same holds
        // where both came to the same incarnation, for the greater life.
        const bool ours = !joined_ || (claim.incarnation == self_.incarnation && self_.life > claim.life);
        if (ours) {
            self_.incarnation = claim.incarnation + 1;
            dissemination_.enqueue(self_);
        } else {
            superseded_ = true;
            prober_.cancel();
            effects.changes.push_back({"superseded", self_.name, claim.incarnation, ""});
        }
        return;
    }
    // Accused, or taken for an earlier life that died: alive, and later (SWIM 4.2).
    self_.incarnation = claim.incarnation + 1;
    if (claim.life == self_.life) {
        ++counters_.accused;
        local_health_.adjust(1);
        effects.changes.push_back({"accused", self_.name, self_.incarnation, claim.by});
    }
    dissemination_.enqueue(self_);
}

void Membership::merge(Millis now, const std::vector<Claim>& claims, const std::string& by,
                       Effects& effects) {
    for (Claim claim : claims) {
        if (claim.state == State::dead) {
            if (!member(claim.name)) continue;
            claim.state = State::suspect;
            claim.by = by;
        }
        apply(now, claim, effects);
    }
    joined_ = true;
}

void Membership::leave(Millis now, Effects& effects) {
    if (left_ || superseded_) return;
    self_.state = State::left;
    self_.by.clear();
    dissemination_.enqueue(self_);
    for (const std::string& to : table_.sample(parameters_.transmits(table_.present()), {}, random_))
        send(to, "", {Message::Kind::gossip, 0, self_.name, to, {}}, effects);
    left_ = true;
    prober_.cancel();
    prober_.begin_at(now + parameters_.period);
    anti_entropy_.begin_at(now + parameters_.period);
}

}  // namespace mothring::cluster
