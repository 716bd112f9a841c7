// Who is present among the sidecars: a SWIM failure detector with gossip (Das, Gupta, Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) and the Lifeguard
// refinements (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection", DSN-W 2018). No socket, clock or thread: time comes in, messages go out, so that the same code
// runs in a sidecar and in a simulated fleet. Times are milliseconds on a clock that never goes back.
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

class Membership {
public:
    struct Counters {
        std::uint64_t probes = 0, probes_failed = 0, suspicions = 0, refuted = 0, deaths = 0, accused = 0,
                      late_ticks = 0;
    };

    // `self`: its name, addresses, version and life; its incarnation is that of a first life.
    Membership(Claim self, Parameters parameters, std::uint64_t seed);

    // What is due by `now`. Call it at next() or later; being late is taken as this process's own slowness.
    void tick(Millis now, Effects& effects);
    Millis next() const;
    void receive(Millis now, const Message& message, const std::string& address, Effects& effects);
    // The whole state of another, as members() gives it. Its dead are doubted, not believed: they may refute.
    void merge(Millis now, const std::vector<Claim>& claims, const std::string& by, Effects& effects);
    std::uint64_t digest() const;  // equal where two members have nothing to tell each other
    // This member goes: tells it to some at once; it answers no probe any more.
    void leave(Millis now, Effects& effects);

    View view() const;
    double sync_periods() const;  // between exchanges of the whole state
    const Claim& self() const { return self_; }
    bool superseded() const { return superseded_; }
    std::vector<Claim> members() const;  // all records, this member's first
    std::optional<Claim> member(const std::string& name) const;
    unsigned awareness() const { return local_health_.score(); }
    const Counters& counters() const { return counters_; }
    const Parameters& parameters() const { return parameters_; }

private:
    void add(Millis now, const Claim& claim, Effects& effects);
    void apply(Millis now, const Claim& claim, Effects& effects);
    void apply_to_self(const Claim& claim, Effects& effects);
    void accuse(Millis now, Member& member, const Claim& claim, Effects& effects);
    void kill(Millis now, Member& member, State state, Effects& effects);
    void send(const std::string& to, const std::string& address, Message message, Effects& effects);
    void answer(Message::Kind kind, const ProbeRelay::Request& request, Effects& effects);
    void probe_next(Millis now, Effects& effects);
    void ask_others(Prober::Probe& probe, Effects& effects);
    void probe_failed(Millis now, const Prober::Probe& probe, Effects& effects);
    void insist(Millis now, Effects& effects);

    Claim self_;
    Parameters parameters_;
    std::mt19937_64 random_;
    LocalHealth local_health_;
    MemberTable table_;
    DisseminationQueue dissemination_;
    Prober prober_;
    ProbeRelay probe_relay_;
    AntiEntropy anti_entropy_;
    std::uint64_t sequence_ = 0;
    Millis next_insist_ = 0;
    bool started_ = false, left_ = false, superseded_ = false, joined_ = false;
    Counters counters_;
};

}  // namespace mothring::cluster
