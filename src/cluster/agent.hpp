// The membership on sockets: datagrams for probes and gossip, short TCP exchanges for whole states, at one
// address. Carries out what Membership asks for and logs what it learns; decides nothing.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/codec.hpp"
#include "cluster/membership.hpp"
#include "cluster/settings.hpp"
#include "net/clock.hpp"

namespace mothring::cluster {

// For /metrics.
struct Figures {
    View view;
    std::uint64_t incarnation = 0;
    unsigned awareness = 0;
    bool superseded = false;
    Membership::Counters counters;
    std::uint64_t bytes_sent = 0, datagrams_sent = 0, syncs = 0, syncs_failed = 0;
    double bytes_sent_per_s = 0;  // over the last ten periods or more
    std::array<std::uint64_t, kRejections> rejected{};
    std::vector<Claim> members;
};

class Agent {
public:
    struct Callbacks {
        std::function<void(const View&)> changed;  // the view, whenever it is another
        // part.what and whom it is about, for the log.
        std::function<void(const Effects::Change&)> learnt;
        std::function<void(Rejection, const std::string& from)> rejected;
    };

    /// Listens when it returns. Throws boost::system::system_error where it can't. The member's life and
    /// first incarnation are taken from `clock` (Unix ms), and all its times are counted by it.
    Agent(boost::asio::io_context& io, Settings settings, std::string name, std::string version,
          Callbacks callbacks, net::Clock clock = net::Clock());
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    void leave();  // tells it at once; answers no probe any more
    Udp::endpoint address() const;
    Figures figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace mothring::cluster
