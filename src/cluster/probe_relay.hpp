/// @file
/// Indirect probes (SWIM 4.1, ping-req): the pings that this member sends on behalf of others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/parameters.hpp"

namespace mothring::cluster {

/// Holds a request until its ack comes, which is forwarded, or its period is over. Before that its asker is
/// sent a nack, which shows that this member at least is present (Lifeguard 4.1).
class ProbeRelay {
public:
    /// An indirect probe on behalf of another member.
    struct Request {
        /// Of this member's ping.
        std::uint64_t sequence = 0;
        /// Of the ping_request, and so of its answer.
        std::uint64_t asked_sequence = 0;
        /// Whom to answer.
        std::string asker;
        /// Where to answer.
        std::string address;
    };

    explicit ProbeRelay(const Parameters& parameters);

    /// Whether no further request may be added, so that memory is bounded.
    bool full() const { return pending_.size() >= max_pending_; }
    void add(Millis now, Request request);
    /// When a nack is due or a request ends; infinite where there is no request.
    Millis next() const;
    /// Adds the time for which this process did not listen.
    void postpone(Millis stalled);
    /// Drops the requests whose time is over.
    /// @return those whose nack is due.
    std::vector<Request> take_nacks(Millis now);
    /// Ends the request whose ping was acknowledged.
    /// @return the request. None: no such ping is under way.
    std::optional<Request> acknowledge(std::uint64_t sequence);

private:
    struct Pending {
        Request request;
        Millis nack_at = 0;
        Millis ends_at = 0;
        bool nack_sent = false;
    };

    Millis period_;
    Millis nack_after_;
    std::size_t max_pending_;
    std::vector<Pending> pending_;
};

}  // namespace mothring::cluster
