/// @file
/// Which sidecars are present: a SWIM failure detector with gossip (Das, Gupta, Motivala, "SWIM:
/// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) and the Lifeguard
/// refinements (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
/// Detection", DSN-W 2018). It has no socket, clock or thread, so that the same code runs in a sidecar and in
/// a simulated fleet. Times are milliseconds on a clock that never goes back.
///
/// This class puts the parts of the protocol together: the member table, the prober, the relay of indirect
/// probes, the dissemination queue and anti-entropy, each in a file of its own.
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

/// One member's side of the protocol. What it wants done and what it has learnt is added to the `effects`
/// given. It never throws because of what others send.
class Membership {
public:
    /// Counts since the start.
    struct Counters {
        std::uint64_t probes = 0;
        std::uint64_t probes_failed = 0;
        std::uint64_t suspicions = 0;
        /// Suspicions that the suspect refuted.
        std::uint64_t refuted = 0;
        /// Members that this one declared dead.
        std::uint64_t deaths = 0;
        /// Claims that this member is suspected or dead, which it refuted.
        std::uint64_t accused = 0;
        /// Times that this process was found to have been stalled.
        std::uint64_t late_ticks = 0;
    };

    /// @param self  its name, addresses, version and life, and its first incarnation.
    /// @param seed  of the random choices, which are the same for the same seed and calls.
    Membership(Claim self, Parameters parameters, std::uint64_t seed);

    /// Does what is due. Has to be called at next(); a call much later shows that this process was stalled.
    void tick(Millis now, Effects& effects);
    /// When tick() has something to do; in the past where it is overdue.
    Millis next() const;
    /// Takes a message.
    /// @param address  the sender's, to which an answer goes.
    void receive(Millis now, const Message& message, const std::string& address, Effects& effects);
    /// Takes the complete state of another member, as members() gives it. Whom it holds for dead is only
    /// suspected here, and may refute.
    void merge(Millis now, const std::vector<Claim>& claims, const std::string& sender, Effects& effects);
    /// Of the complete state; equal where two members have nothing to exchange.
    std::uint64_t digest() const;
    /// Leaves the fleet: notifies some members at once, and answers no probe any more.
    void leave(Millis now, Effects& effects);

    View view() const;
    /// Periods between state exchanges, on average.
    double sync_periods() const;
    /// The claim of this member about itself.
    const Claim& self() const { return self_; }
    /// Whether another process has this member's name; this one sends nothing any more.
    bool superseded() const { return phase_ == Phase::superseded; }
    /// Whether it sends nothing any more: it has left or is superseded.
    bool is_silent() const { return phase_ == Phase::left || phase_ == Phase::superseded; }
    /// The claims about all members, this one's first.
    std::vector<Claim> members() const;
    /// The claim about a member, or this one. None: not known.
    std::optional<Claim> member(const std::string& name) const;
    /// The local health score, 0 the best (Lifeguard, 4.1).
    unsigned awareness() const { return local_health_.score(); }
    const Counters& counters() const { return counters_; }
    const Parameters& parameters() const { return parameters_; }

private:
    enum class Phase {
        starting,   // before the first tick
        running,    // takes part in the protocol
        left,       // has left the fleet
        superseded  // another process has the name
    };

    // Time (membership.cpp)
    void start(Millis now);
    void make_up_for_stall(Millis now);
    void schedule_idle_tick(Millis now);
    void begin_probe(Millis now, Effects& effects);
    void probe_indirectly(Prober::Probe& probe, Effects& effects);
    void fail_probe(Millis now, const Prober::Probe& probe, Effects& effects);
    void ping_accused(Millis now, Effects& effects);
    void declare_expired(Millis now, Effects& effects);
    void exchange_states(Millis now, Effects& effects);
    // Messages (membership.cpp)
    void send(const std::string& receiver, const std::string& address, Message message, Effects& effects);
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
    Phase phase_ = Phase::starting;
    bool has_merged_ = false;  // another member's state
    Counters counters_;
};

}  // namespace mothring::cluster
