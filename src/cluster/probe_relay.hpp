/// @file
/// Relay of indirect probes (SWIM 4.1, ping-req): the pings that this member sends on behalf of other
/// members.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/parameters.hpp"

namespace mothring::cluster {

/// Records each request until its ack arrives, which is forwarded, or its period ends. Before that, the
/// requester is sent a nack, which shows that this member is running (Lifeguard 4.1).
class ProbeRelay {
public:
    /// An indirect probe on behalf of another member.
    struct Request {
        /// Sequence number of this member's ping.
        std::uint64_t sequence = 0;
        /// Sequence number of the ping_request and of its answer.
        std::uint64_t requester_sequence = 0;
        /// Name of the member to answer.
        std::string requester;
        /// Address to answer to.
        std::string address;
    };

    explicit ProbeRelay(const Parameters& parameters);

    /// Returns whether the limit on pending requests, which bounds memory, is reached.
    bool full() const { return pending_.size() >= max_pending_; }
    void add(Millis now, Request request);
    /// Returns the time at which a nack is due or a request ends; infinite if there is no request.
    Millis next() const;
    /// Extends all deadlines by the time for which this process did not receive.
    void postpone(Millis stalled);
    /// Drops the requests whose period has ended.
    /// @return the requests for which a nack must be sent now.
    std::vector<Request> take_nacks(Millis now);
    /// Ends the request whose ping was acknowledged.
    /// @return the request, or none if no such ping is pending.
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
