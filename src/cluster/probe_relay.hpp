// Indirect probes (SWIM 4.1, ping-req): the pings this member makes on behalf of others, until the ack that
// is handed on or the end of the period. Halfway the asker is told by a nack that this member at least is
// there (Lifeguard 4.1).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/parameters.hpp"

namespace mothring::cluster {

class ProbeRelay {
public:
    struct Request {
        std::uint64_t sequence = 0;        // of this member's ping
        std::uint64_t asked_sequence = 0;  // of the ping_request: an answer's
        std::string asker, address;        // whom to answer, and where
    };

    explicit ProbeRelay(const Parameters& parameters);

    // Whether another request may be taken on: there is a limit, so that memory is bounded.
    bool full() const { return pending_.size() >= most_; }
    void add(Millis now, Request request);
    // When a nack is due or a request ends; infinite where there is none.
    Millis next() const;
    // This process did not listen for so long: the probed may have answered.
    void postpone(Millis stalled);
    // Those whose asker is to be sent a nack by `now`; the ones whose time is over are dropped.
    std::vector<Request> take_nacks(Millis now);
    // The request whose ping was acknowledged; it is over. None: not a relayed ping, or too late.
    std::optional<Request> acknowledge(std::uint64_t sequence);

private:
    struct Pending {
        Request request;
        Millis nack_at = 0, ends_at = 0;
        bool nacked = false;
    };
    Millis period_, nack_after_;
    std::size_t most_;
    std::vector<Pending> pending_;
};

}  // namespace mothring::cluster
