// The protocol in time, and the messages. How claims change the table is in membership_claims.cpp.
#include "cluster/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mothring::cluster {

namespace {

// Of the period: a tick later than this shows that this process was stalled.
constexpr double kStalledFraction = 0.5;
// To each of those that this member accuses.
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
    view.stands = !superseded();
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
    // Suspicions and probes that were under way stay in the tables, but nothing is due for them any more.
    if (is_silent()) return anti_entropy_.next();
    const Millis at = std::min({prober_.next(), probe_relay_.next(), anti_entropy_.next()});
    const Millis expiry = table_.next_expiry(parameters_);
    if (std::isinf(expiry)) return at;  // nobody is suspected, so nobody is accused
    const Millis ping = table_.any_accused_by(self_.name) ? next_accused_ping_ : expiry;
    return std::min({at, expiry, ping});
}

void Membership::tick(Millis now, Effects& effects) {
    if (is_silent()) {
        schedule_idle_tick(now);
        return;
    }
    if (phase_ == Phase::starting) start(now);
    make_up_for_stall(now);
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
    // Spread over a period, so that members started together do not probe together.
    std::uniform_real_distribution<double> fraction(0, 1);
    prober_.begin_at(now + parameters_.period * fraction(random_));
    anti_entropy_.schedule_first(now, parameters_, random_);
    dissemination_.enqueue(self_);
}

// What others sent while this process was stalled is unread: that time is no reason to suspect anybody.
void Membership::make_up_for_stall(Millis now) {
    const Millis late = now - next();
    if (late <= parameters_.period * kStalledFraction) return;
    ++counters_.late_ticks;
    local_health_.adjust(1);
    prober_.postpone(late);
    next_accused_ping_ += late;
    table_.postpone_suspicions(late);
    probe_relay_.postpone(late);
}

// There is nothing to do any more; the ticks go on.
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

// The ping carries the accusation (the buddy system), and its ack the refutation. Under loss the probes of
// the round are too rare for that in a large fleet, and gossip alone may not get through in time both ways.
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
        declare_gone(now, member, claim, effects);
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

// The claim that the receiver is suspect or dead goes first, so that it can refute.
void Membership::send(const std::string& receiver, const std::string& address, Message message,
                      Effects& effects) {
    const Member* const member = table_.find(receiver);
    const bool is_doubted =
        member && (member->claim.state == State::suspect || member->claim.state == State::dead);
    message.claims =
        dissemination_.piggyback(is_doubted ? &member->claim : nullptr, parameters_.max_claim_bytes,
                                 parameters_.transmits(table_.present()));
    effects.sends.push_back({receiver, address, std::move(message)});
}

void Membership::send_ping(const std::string& target, std::uint64_t sequence, Effects& effects) {
    send(target, "", {Message::Kind::ping, sequence, self_.name, target, {}}, effects);
}

void Membership::answer(Message::Kind kind, const ProbeRelay::Request& request, Effects& effects) {
    send(request.asker, request.address, {kind, request.asked_sequence, self_.name, request.asker, {}},
         effects);
}

void Membership::receive(Millis now, const Message& message, const std::string& address, Effects& effects) {
    if (superseded() || message.from == self_.name) {
        // Another process with this member's name: only what it claims of the name counts.
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
