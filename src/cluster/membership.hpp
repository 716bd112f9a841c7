// Who is present among the sidecars: a SWIM failure detector with gossip (Das, Gupta, Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) and the Lifeguard
// refinements (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection", DSN-W 2018). No socket, clock or thread: time comes in, messages go out, so that the same code
// runs in a sidecar and in a simulated fleet. Times are milliseconds on a clock that never goes back.
//
// This class puts the parts of the protocol together: the member table, the prober, the relay of indirect
// probes, the dissemination queue and anti-entropy, each in a file of its own.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/anti_entropy.hpp"
#include "cluster/claim.hpp"
#include "cluster/dissemination.hpp"
#include "cluster/local_health.hpp"
#include "cluster/member_table.hpp"
#include "cluster/message.hpp"
#include "cluster/parameters.hpp"
#include "cluster/probe_relay.hpp"
#include "cluster/prober.hpp"

namespace mothring::cluster {

// One member's side of the protocol. What it wants done and what it learnt is added to the `effects` given;
// nothing here throws on what others send.
class Membership {
public:
    // Since the start. `deaths`: those this member declared; `accused`: claims that this member is suspected
    // or dead, which it refuted; `late_ticks`: times this process was found to have been stalled.
    struct Counters {
        std::uint64_t probes = 0, probes_failed = 0, suspicions = 0, refuted = 0, deaths = 0, accused = 0,
                      late_ticks = 0;
    };

    // `self`: its name, addresses, version and life; its incarnation is that of a first life. `seed`: of the
    // random choices, which are the same for the same seed and calls.
    Membership(Claim self, Parameters parameters, std::uint64_t seed);

    // What is due by `now`. Call it at next() or later; being late is taken as this process's own slowness.
    void tick(Millis now, Effects& effects);
    // When tick() has something to do; earlier than the present where it is overdue.
    Millis next() const;
    // A message that came from `address`, to which an answer goes.
    void receive(Millis now, const Message& message, const std::string& address, Effects& effects);
    // The whole state of `by`, as members() gives it. Its dead are doubted, not believed: they may refute.
    void merge(Millis now, const std::vector<Claim>& claims, const std::string& by, Effects& effects);
    // Equal where two members have nothing to tell each other.
    std::uint64_t digest() const;
    // This member goes: tells it to some at once; it answers no probe any more.
    void leave(Millis now, Effects& effects);

    View view() const;
    // Periods between exchanges of the whole state, on average.
    double sync_periods() const;
    // The claim of this member about itself.
    const Claim& self() const { return self_; }
    // Another process has this member's name: this one has fallen silent.
    bool superseded() const { return superseded_; }
    /// Whether it sends nothing any more: it has left, or another process has its name.
    bool is_silent() const { return superseded_ || self_.state == State::left; }
    // All records, this member's first.
    std::vector<Claim> members() const;
    // What stands about one, this member included. None: not known.
    std::optional<Claim> member(const std::string& name) const;
    // The local health score, 0 the best (Lifeguard, 4.1).
    unsigned awareness() const { return local_health_.score(); }
    const Counters& counters() const { return counters_; }
    const Parameters& parameters() const { return parameters_; }

private:
    // Time (membership.cpp)
    void start(Millis now);
    void make_up_for_stall(Millis now);
    void idle(Millis now);
    void begin_probe(Millis now, Effects& effects);
    void ask_others(Prober::Probe& probe, Effects& effects);
    void fail_probe(Millis now, const Prober::Probe& probe, Effects& effects);
    void ping_accused(Millis now, Effects& effects);
    void declare_expired(Millis now, Effects& effects);
    void exchange_states(Millis now, Effects& effects);
    // Messages (membership.cpp)
    void send(const std::string& to, const std::string& address, Message message, Effects& effects);
    void send_ping(const std::string& target, std::uint64_t sequence, Effects& effects);
    void answer(Message::Kind kind, const ProbeRelay::Request& request, Effects& effects);
    void relay_probe(Millis now, const Message& request, const std::string& address, Effects& effects);
    void acknowledge(std::uint64_t sequence, Effects& effects);
    // Claims (membership_claims.cpp)
    void apply(Millis now, const Claim& claim, Effects& effects);
    void apply_to_self(Millis now, const Claim& claim, Effects& effects);
    void contest_name(Millis now, const Claim& claim, Effects& effects);
    bool is_earlier_life(Millis now, const Claim& claim) const;
    void refute(const Claim& claim, Effects& effects);
    void add(Millis now, const Claim& claim, Effects& effects);
    void revive(Millis now, Member& member, const Claim& claim, Effects& effects);
    void confirm(Member& member, const Claim& claim);
    void suspect(Millis now, Member& member, const Claim& claim, Effects& effects);
    void declare_gone(Millis now, Member& member, const Claim& claim, Effects& effects);

    Claim self_;
    Parameters parameters_;
    std::mt19937_64 random_;
    LocalHealth local_health_;
    MemberTable table_;
    DisseminationQueue dissemination_;
    Prober prober_;
    ProbeRelay probe_relay_;
    AntiEntropy anti_entropy_;
    std::uint64_t sequence_ = 0;  // of the last ping sent
    Millis next_accused_ping_ = 0;
    Millis started_at_ = 0;  // the first tick
    bool started_ = false, left_ = false, superseded_ = false;
    bool joined_ = false;  // another's state has been merged
    Counters counters_;
};

}  // namespace mothring::cluster
