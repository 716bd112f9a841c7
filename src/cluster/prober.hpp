/// @file
/// The failure detector's own probes (SWIM 4.1 and 4.3): one member is probed in each protocol period, in a
/// random order. It is probed directly first, and through other members if no ack arrives within the timeout.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/member_table.hpp"
#include "cluster/parameters.hpp"

namespace mothring::cluster {

/// Keeps the state and the times of the probes; Membership sends the messages.
class Prober {
public:
    /// The probe of one period.
    struct Probe {
        std::string target;
        /// Sequence number of the ping and of the ping_requests.
        std::uint64_t sequence = 0;
        /// Time at which the direct ack is overdue.
        Millis timeout_at = 0;
        /// Time at which the probe fails.
        Millis fails_at = 0;
        /// Whether the direct probe has timed out and indirect probes have been requested.
        bool indirect = false;
        /// Number of members asked for an indirect probe.
        unsigned nacks_due = 0;
        /// Number of nacks received from them.
        unsigned nacks = 0;
        /// Returns the increase of the local health score for a failed probe (Lifeguard 4.1). If members that
        /// were asked for an indirect probe did not even send a nack, this process may be at fault.
        int health_penalty() const;
    };

    explicit Prober(const Parameters& parameters)
        : period_(parameters.period), timeout_(parameters.period * parameters.timeout_fraction) {}

    /// Sets the start of the next period.
    void begin_at(Millis at) { next_at_ = at; }
    /// Adds a member that joined, at a random position of the current round.
    void add(const std::string& name, std::mt19937_64& random);
    /// Returns whether the next period must begin.
    bool due(Millis now) const { return next_at_ <= now; }
    /// Returns the time of the next action.
    Millis next() const;
    /// Extends all deadlines by the time for which this process did not receive.
    void postpone(Millis stalled);

    /// Begins a period, and a probe in it if any other member is present.
    /// @param multiplier  factor for the interval and the timeout (LocalHealth::multiplier).
    /// @param sequence  sequence number of the last ping sent; it is incremented.
    /// @return the probe, or null if no other member is present.
    const Probe* begin(Millis now, Millis multiplier, std::uint64_t& sequence, const MemberTable& table,
                       std::mt19937_64& random);
    /// Returns the probe whose direct ack has become overdue, once, so that indirect probes can be requested;
    /// otherwise null.
    Probe* take_timeout(Millis now);
    /// Ends the probe if its period has passed without an ack.
    /// @return the failed probe, or none.
    std::optional<Probe> take_failed(Millis now);
    /// Processes an ack.
    /// @return whether it answers the current probe, which is then complete.
    bool acknowledge(std::uint64_t sequence);
    /// Processes a nack.
    void nack(std::uint64_t sequence);
    /// Drops the current probe.
    void cancel() { probe_.reset(); }

private:
    std::string next_target(const MemberTable& table, std::mt19937_64& random);

    Millis period_;
    Millis timeout_;
    Millis next_at_ = 0;              // start of the next period
    std::vector<std::string> round_;  // members to probe in this round; the next one is last
    std::optional<Probe> probe_;
};

}  // namespace mothring::cluster
