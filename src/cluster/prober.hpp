/// @file
/// The failure detector's own probes (SWIM 4.1 and 4.3): of one member in each protocol period, in turn;
/// first directly and, where no ack comes within the timeout, through others.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/member_table.hpp"
#include "cluster/parameters.hpp"

namespace mothring::cluster {

/// Has the state and the times of the probes; Membership sends the messages.
class Prober {
public:
    /// The probe of one period.
    struct Probe {
        std::string target;
        /// Of the ping and of the ping_requests.
        std::uint64_t sequence = 0;
        /// When the direct ack is overdue.
        Millis timeout_at = 0;
        /// When any ack is overdue.
        Millis fails_at = 0;
        /// Whether the timeout is over, and others probe too.
        bool indirect = false;
        /// Members asked to probe.
        unsigned nacks_due = 0;
        /// Those that sent a nack.
        unsigned nacks = 0;
        /// What a failed probe adds to the local health score (Lifeguard 4.1): where members that were asked
        /// did not send so much as a nack, the fault may be this process's.
        int health_penalty() const;
    };

    explicit Prober(const Parameters& parameters)
        : period_(parameters.period), timeout_(parameters.period * parameters.timeout_fraction) {}

    /// Sets the beginning of the next period.
    void begin_at(Millis at) { next_at_ = at; }
    /// Adds a member that joined, at a random place of the current round.
    void add(const std::string& name, std::mt19937_64& random);
    /// Whether a period is to begin.
    bool due(Millis now) const { return next_at_ <= now; }
    /// The earliest time at which there is something to do.
    Millis next() const;
    /// Adds the time for which this process did not listen.
    void postpone(Millis stalled);

    /// Begins a period, and a probe in it where any member is present.
    /// @param multiplier  of the interval and the timeout (LocalHealth::multiplier).
    /// @param sequence  of the last ping sent; raised.
    /// @return the probe; null: nobody is present.
    const Probe* begin(Millis now, Millis multiplier, std::uint64_t& sequence, const MemberTable& table,
                       std::mt19937_64& random);
    /// The probe whose direct ack is overdue, once; others are to probe then. Null: none.
    Probe* take_timeout(Millis now);
    /// Ends the probe that got no ack in its period.
    /// @return the probe; none: none failed.
    std::optional<Probe> take_failed(Millis now);
    /// Takes an ack.
    /// @return whether it was of the current probe, which is over.
    bool acknowledge(std::uint64_t sequence);
    /// Takes a nack.
    void nack(std::uint64_t sequence);
    /// Drops the current probe.
    void cancel() { probe_.reset(); }

private:
    std::string next_target(const MemberTable& table, std::mt19937_64& random);

    Millis period_;
    Millis timeout_;
    Millis next_at_ = 0;              // the next period
    std::vector<std::string> round_;  // whom to probe, the next one last
    std::optional<Probe> probe_;
};

}  // namespace mothring::cluster
