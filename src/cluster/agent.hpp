/// @file
/// The membership on sockets: datagrams for probes and gossip, short TCP exchanges for complete states, at
/// one address. Carries out what Membership asks for and reports what it learns; decides nothing.
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

/// The state of an agent, for /metrics.
struct AgentStatistics : TrafficCounters {
    View view;
    std::uint64_t incarnation = 0;
    unsigned awareness = 0;
    bool superseded = false;
    Membership::Counters counters;
    /// Over the last ten periods or more.
    double bytes_sent_per_s = 0;
    std::vector<Claim> members;
};

/// One member of the fleet.
class Agent {
public:
    /// Whom it reports to; any of them may be empty.
    struct Callbacks {
        /// The view, whenever it is another.
        std::function<void(const View&)> view_changed;
        /// What was learnt of a member, for the log.
        std::function<void(const Effects::Change&)> member_changed;
        /// @param from  the address of the sender, or "tcp".
        std::function<void(Rejection, const std::string& from)> rejected;
    };

    /// Listens when it returns.
    /// @param clock  all times are counted by it; the member's life and first incarnation are taken from it
    ///     (Unix ms).
    /// @throws boost::system::system_error where it can't listen.
    Agent(boost::asio::io_context& io, Settings settings, std::string name, std::string version,
          Callbacks callbacks, net::Clock clock = net::Clock());
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    /// Tells other members at once that this one leaves; it answers no probe any more.
    void leave();
    /// Where it listens, for UDP and TCP.
    Udp::endpoint address() const;
    AgentStatistics statistics() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace mothring::cluster
