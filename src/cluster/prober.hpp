// The failure detector's own probes (SWIM 4.1 and 4.3): one member a protocol period, in turn, asked directly
// and, where its ack does not come within the timeout, through others. Keeps the state and the times; what is
// sent is up to the membership.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/member_table.hpp"
#include "cluster/parameters.hpp"

namespace mothring::cluster {

class Prober {
public:
    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;           // of the ping and of the ping_requests
        Millis timeout_at = 0, fails_at = 0;  // for the direct ack, and for any
        bool indirect = false;                // others have been asked
        unsigned nacks_due = 0, nacks = 0;    // from those asked
        // What a failed probe adds to the local health score (Lifeguard 4.1): those asked who did not even
        // say nack show that the fault may be this process's.
        int health_penalty() const;
    };

    explicit Prober(const Parameters& parameters)
        : period_(parameters.period), timeout_(parameters.period * parameters.timeout_part) {}

    // The first period begins then; or, where no probe is made any more, the next look.
    void begin_at(Millis at) { next_at_ = at; }
    // A member that joined: probed at a random place of the running round.
    void add(const std::string& name, std::mt19937_64& random);
    // Whether a period begins by `now`.
    bool due(Millis now) const { return next_at_ <= now; }
    // The earliest time at which there is something to do.
    Millis next() const;
    // This process did not listen for so long: nobody is failed for that time.
    void postpone(Millis stalled);

    // Begins a period, and a probe in it where anybody is present. Null: nobody is.
    const Probe* begin(Millis now, Millis multiplier, std::uint64_t& sequence, const MemberTable& table,
                       std::mt19937_64& random);
    // The probe whose direct ack is overdue, once; others are to be asked then. Null: none.
    Probe* take_timeout(Millis now);
    // The probe that got no ack in its period; it is over. None: none failed.
    std::optional<Probe> take_failed(Millis now);
    // An ack came: whether it is of the running probe, which is over then.
    bool acknowledge(std::uint64_t sequence);
    void nack(std::uint64_t sequence);
    void cancel() { probe_.reset(); }

private:
    std::string next_target(const MemberTable& table, std::mt19937_64& random);

    Millis period_, timeout_;
    Millis next_at_ = 0;              // the next period
    std::vector<std::string> round_;  // whom to probe, the next one last
    std::optional<Probe> probe_;
};

}  // namespace mothring::cluster
