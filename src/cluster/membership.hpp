/// @file
/// Membership of the fleet of sidecars: a SWIM failure detector with gossip (Das, Gupta, Motivala, "SWIM:
/// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) and the Lifeguard
/// refinements (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
/// Detection", DSN-W 2018). It uses no socket, clock or thread, so that the same code runs in a sidecar and
/// in a simulated fleet. Times are milliseconds on a monotonic clock.
///
/// Membership combines the parts of the protocol: the member table, the prober, the relay of indirect probes,
/// the dissemination queue and anti-entropy, each in a file of its own.
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

/// Runs one member's side of the protocol. Its functions append the messages to send and the changes found to
/// the given `effects`. Input from other members never makes it throw.
class Membership {
public:
    /// Counters since the start.
    struct Counters {
        std::uint64_t probes = 0;
        std::uint64_t probes_failed = 0;
        std::uint64_t suspicions = 0;
        /// Suspicions that the suspect refuted.
        std::uint64_t refuted = 0;
        /// Members that this member declared dead.
        std::uint64_t deaths = 0;
        /// Claims that this member is suspect or dead, which it refuted.
        std::uint64_t accused = 0;
        /// Number of detected stalls of this process.
        std::uint64_t late_ticks = 0;
    };

    /// @param self  claim with this member's name, addresses, version, process instance and first
    ///     incarnation.
    /// @param seed  seed of the random choices, which are reproducible for the same seed and calls.
    Membership(Claim self, Parameters parameters, std::uint64_t seed);

    /// Performs the actions that are due. It must be called at next(); a call much later is taken as a stall
    /// of this process.
    void tick(Millis now, Effects& effects);
    /// Returns the time at which tick() must be called next; it is in the past if the call is overdue.
    Millis next() const;
    /// Processes a message.
    /// @param address  the sender's address, to which an answer is sent.
    void receive(Millis now, const Message& message, const std::string& address, Effects& effects);
    /// Merges the complete state of another member, as returned by its members(). Members that are dead in
    /// that state become only suspect here, so that they can refute.
    void merge(Millis now, const std::vector<Claim>& claims, const std::string& sender, Effects& effects);
    /// Returns a digest of the complete state. It is equal for two members that have nothing to exchange.
    std::uint64_t digest() const;
    /// Leaves the fleet. Some members are notified at once, and probes are no longer answered.
    void leave(Millis now, Effects& effects);

    View view() const;
    /// Returns the average number of periods between state exchanges.
    double sync_periods() const;
    /// Returns the claim of this member about itself.
    const Claim& self() const { return self_; }
    /// Returns whether another process has taken over this member's name. This member then sends nothing.
    bool superseded() const { return phase_ == Phase::superseded; }
    /// Returns whether this member sends nothing because it has left or is superseded.
    bool is_silent() const { return phase_ == Phase::left || phase_ == Phase::superseded; }
    /// Returns the claims about all members; the first is that of this member.
    std::vector<Claim> members() const;
    /// Returns the claim about a member or about this member itself, or none if the name is unknown.
    std::optional<Claim> member(const std::string& name) const;
    /// Returns the local health score; 0 is the best (Lifeguard, 4.1).
    unsigned awareness() const { return local_health_.score(); }
    const Counters& counters() const { return counters_; }
    const Parameters& parameters() const { return parameters_; }

private:
    enum class Phase {
        starting,   // before the first tick
        running,    // takes part in the protocol
        left,       // has left the fleet
        superseded  // another process has taken over the name
    };

    // Time (membership.cpp)
    void start(Millis now);
    void compensate_stall(Millis now);
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
    void resolve_name_conflict(Millis now, const Claim& claim, Effects& effects);
    bool is_earlier_instance(Millis now, const Claim& claim) const;
    void refute(const Claim& claim, Effects& effects);
    void add(Millis now, const Claim& claim, Effects& effects);
    void revive(Millis now, Member& member, const Claim& claim, Effects& effects);
    void confirm(Member& member, const Claim& claim);
    void suspect(Millis now, Member& member, const Claim& claim, Effects& effects);
    void declare_dead_or_left(Millis now, Member& member, const Claim& claim, Effects& effects);

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
    Millis started_at_ = 0;  // of the first tick
    Phase phase_ = Phase::starting;
    bool has_merged_ = false;  // whether a state of another member has been merged
    Counters counters_;
};

}  // namespace mothring::cluster
