// Timed actions and messages of the protocol. membership_claims.cpp has the processing of claims.
#include "cluster/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mothring::cluster {

namespace {

// Fraction of the period. A tick that is later than this shows that this process was stalled.
constexpr double kStalledFraction = 0.5;
// Number of pings per period to each member that this member accuses.
constexpr double kAccusedPingsPerPeriod = 2;

}  // namespace

Membership::Membership(Claim self, Parameters parameters, std::uint64_t seed)
    : self_(std::move(self)),
      parameters_(parameters),
      random_(seed),
      local_health_(parameters.max_awareness),
      prober_(parameters),
      probe_relay_(parameters) {
    self_.state = State::alive;
}

View Membership::view() const {
    View view = table_.view();
    view.is_current = !superseded();
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
    // After leaving or being superseded, pending suspicions and probes stay in the tables but need no action.
    if (is_silent()) return anti_entropy_.next();
    const Millis at = std::min({prober_.next(), probe_relay_.next(), anti_entropy_.next()});
    const Millis expiry = table_.next_expiry(parameters_);
    if (std::isinf(expiry)) return at;  // no suspicion, so no accused member to ping
    const Millis ping = table_.any_accused_by(self_.name) ? next_accused_ping_ : expiry;
    return std::min({at, expiry, ping});
}

void Membership::tick(Millis now, Effects& effects) {
    if (is_silent()) {
        schedule_idle_tick(now);
        return;
    }
    if (phase_ == Phase::starting) start(now);
    compensate_stall(now);
    for (const ProbeRelay::Request& request : probe_relay_.take_nacks(now))
        answer(Message::Kind::nack, request, effects);
    if (Prober::Probe* const probe = prober_.take_timeout(now)) probe_indirectly(*probe, effects);
    if (const auto failed = prober_.take_failed(now)) fail_probe(now, *failed, effects);
    if (next_accused_ping_ <= now) ping_accused(now, effects);
    if (prober_.due(now)) begin_probe(now, effects);
    declare_expired(now, effects);
    if (anti_entropy_.next() <= now) exchange_states(now, effects);
}

void Membership::start(Millis now) {
    phase_ = Phase::running;
    started_at_ = now;
    // The first probe is at a random time of a period, so that members started together do not all probe at
    // once.
    std::uniform_real_distribution<double> fraction(0, 1);
    prober_.begin_at(now + parameters_.period * fraction(random_));
    anti_entropy_.schedule_first(now, parameters_, random_);
    dissemination_.enqueue(self_);
}

// Messages that arrived during a stall of this process are still unread, so the stalled time must not count
// against any other member.
void Membership::compensate_stall(Millis now) {
    const Millis late = now - next();
    if (late <= parameters_.period * kStalledFraction) return;
    ++counters_.late_ticks;
    local_health_.adjust(1);
    prober_.postpone(late);
    next_accused_ping_ += late;
    table_.postpone_suspicions(late);
    probe_relay_.postpone(late);
}

// Schedules ticks that do nothing, so that next() stays in the future.
void Membership::schedule_idle_tick(Millis now) {
    prober_.begin_at(now + parameters_.period);
    anti_entropy_.begin_at(now + parameters_.period);
}

void Membership::begin_probe(Millis now, Effects& effects) {
    const Prober::Probe* const probe =
        prober_.begin(now, local_health_.multiplier(), sequence_, table_, random_);
    if (!probe) return;
    ++counters_.probes;
    send_ping(probe->target, probe->sequence, effects);
}

void Membership::probe_indirectly(Prober::Probe& probe, Effects& effects) {
    for (const std::string& helper : table_.sample(parameters_.indirect_probes, {probe.target}, random_)) {
        ++probe.nacks_due;
        send(helper, "", {Message::Kind::ping_request, probe.sequence, self_.name, probe.target, {}},
             effects);
    }
}

void Membership::fail_probe(Millis now, const Prober::Probe& probe, Effects& effects) {
    ++counters_.probes_failed;
    local_health_.adjust(probe.health_penalty());
    const Member* const member = table_.find_present(probe.target);
    if (!member) return;
    Claim claim = member->claim;
    claim.state = State::suspect;
    claim.by = self_.name;
    apply(now, claim, effects);
}

// Pings the members that this member accuses. The ping carries the accusation (buddy system), and its ack
// carries the refutation. In a large fleet with packet loss, regular probes are too rare for this, and gossip
// alone may not get through in time in both directions.
void Membership::ping_accused(Millis now, Effects& effects) {
    next_accused_ping_ = now + parameters_.period / kAccusedPingsPerPeriod;
    for (const std::string& name : table_.accused_by(self_.name)) send_ping(name, ++sequence_, effects);
}

void Membership::declare_expired(Millis now, Effects& effects) {
    for (const std::string& name : table_.expired_suspects(now, parameters_)) {
        ++counters_.deaths;
        Member& member = *table_.find(name);
        Claim claim = member.claim;
        claim.state = State::dead;
        claim.by = self_.name;
        declare_dead_or_left(now, member, claim, effects);
    }
}

void Membership::exchange_states(Millis now, Effects& effects) {
    effects.syncs = choose_partners(table_, random_);
    table_.expire(now, parameters_);
    anti_entropy_.schedule_next(now, parameters_, table_.present(), random_);
}

void Membership::leave(Millis now, Effects& effects) {
    if (is_silent()) return;
    self_.state = State::left;
    self_.by.clear();
    dissemination_.enqueue(self_);
    const unsigned count = parameters_.transmits(table_.present());
    for (const std::string& receiver : table_.sample(count, {}, random_))
        send(receiver, "", {Message::Kind::gossip, 0, self_.name, receiver, {}}, effects);
    phase_ = Phase::left;
    prober_.cancel();
    schedule_idle_tick(now);
}

// ---- Messages

// A claim that the receiver is suspect or dead is placed first in the message, so that the receiver can
// refute it.
void Membership::send(const std::string& receiver, const std::string& address, Message message,
                      Effects& effects) {
    const Member* const member = table_.find(receiver);
    const bool is_suspect_or_dead =
        member && (member->claim.state == State::suspect || member->claim.state == State::dead);
    message.claims =
        dissemination_.piggyback(is_suspect_or_dead ? &member->claim : nullptr, parameters_.max_claim_bytes,
                                 parameters_.transmits(table_.present()));
    effects.sends.push_back({receiver, address, std::move(message)});
}

void Membership::send_ping(const std::string& target, std::uint64_t sequence, Effects& effects) {
    send(target, "", {Message::Kind::ping, sequence, self_.name, target, {}}, effects);
}

void Membership::answer(Message::Kind kind, const ProbeRelay::Request& request, Effects& effects) {
    send(request.requester, request.address,
         {kind, request.requester_sequence, self_.name, request.requester, {}}, effects);
}

void Membership::receive(Millis now, const Message& message, const std::string& address, Effects& effects) {
    if (superseded() || message.from == self_.name) {
        // Another process has this member's name, so only its claims about the name are processed.
        for (const Claim& claim : message.claims)
            if (claim.name == self_.name) apply_to_self(now, claim, effects);
        return;
    }
    for (const Claim& claim : message.claims) apply(now, claim, effects);
    if (is_silent()) return;
    switch (message.kind) {
        case Message::Kind::ping:
            if (message.target == self_.name)
                answer(Message::Kind::ack, {0, message.sequence, message.from, address}, effects);
            break;
        case Message::Kind::ping_request:
            relay_probe(now, message, address, effects);
            break;
        case Message::Kind::ack:
            acknowledge(message.sequence, effects);
            break;
        case Message::Kind::nack:
            prober_.nack(message.sequence);
            break;
        case Message::Kind::gossip:
            break;
    }
}

void Membership::relay_probe(Millis now, const Message& request, const std::string& address,
                             Effects& effects) {
    if (!table_.find(request.target) || probe_relay_.full()) return;
    const std::uint64_t sequence = ++sequence_;
    probe_relay_.add(now, {sequence, request.sequence, request.from, address});
    send_ping(request.target, sequence, effects);
}

void Membership::acknowledge(std::uint64_t sequence, Effects& effects) {
    if (prober_.acknowledge(sequence)) {
        local_health_.adjust(-1);
        return;
    }
    const auto request = probe_relay_.acknowledge(sequence);
    if (request) answer(Message::Kind::ack, *request, effects);
}

}  // namespace mothring::cluster
