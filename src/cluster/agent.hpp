/// @file
/// Runs the membership protocol on sockets: UDP datagrams carry probes and gossip, and short TCP exchanges
/// carry complete states, both at one address. Agent sends what Membership asks for and reports its results;
/// all decisions of the protocol are made in Membership.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/codec.hpp"
#include "cluster/membership.hpp"
#include "cluster/settings.hpp"
#include "cluster/traffic_counters.hpp"
#include "net/clock.hpp"

namespace mothring::cluster {

/// Statistics of an agent, for /metrics.
struct AgentStatistics : TrafficCounters {
    View view;
    std::uint64_t incarnation = 0;
    unsigned awareness = 0;
    bool superseded = false;
    Membership::Counters counters;
    /// Average over a window of at least ten protocol periods.
    double bytes_sent_per_s = 0;
    std::vector<Claim> members;
};

/// Takes part in the protocol as one member of the fleet.
class Agent {
public:
    /// Functions called on events; each may be empty.
    struct Callbacks {
        /// Called when the number of present members or the quorum has changed.
        std::function<void(const View&)> view_changed;
        /// Called when the state of a member has changed, for the log.
        std::function<void(const Effects::Change&)> member_changed;
        /// @param from  the sender's address, or "tcp" for a state exchange.
        std::function<void(Rejection, const std::string& from)> rejected;
    };

    /// Binds the sockets and starts the protocol.
    /// @param clock  source of all times; the instance ID and the first incarnation are derived from it (Unix
    ///     ms).
    /// @throws boost::system::system_error if an address can't be bound.
    Agent(boost::asio::io_context& io, Settings settings, std::string name, std::string version,
          Callbacks callbacks, net::Clock clock = net::Clock());
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    /// Notifies other members that this member leaves. It answers no probe after that.
    void leave();
    /// Returns the listening address, which is the same for UDP and TCP.
    Udp::endpoint address() const;
    AgentStatistics statistics() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace mothring::cluster
