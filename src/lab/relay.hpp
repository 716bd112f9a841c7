/// @file
/// Forwards the traffic between the processes of an experiment and applies network faults to it. Rules that
/// are added and removed at run time drop, delay, block or reset traffic. A link connects one named node to
/// another and has its own listener, which identifies both ends. A node that is down refuses connections. For
/// a node that is cut off, open connections stay open without traffic, and new connections are never
/// established. The relay runs on one thread.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "lab/asio.hpp"

namespace mothring::lab {

/// The faults in one direction of a link. If several rules apply to a direction, their conditions are
/// combined.
struct Conditions {
    bool silent = false;  ///< Nothing passes: TCP data is held back, datagrams are lost.
    bool reset = false;   ///< Open and new TCP connections are reset.
    /// Share of the datagrams that are lost, and of the TCP reads that are delayed by one retransmission.
    double drop = 0;
    Millis delay = 0;  ///< Delay added to each TCP read and each datagram.
    /// Upper limit of a further, uniformly distributed delay. TCP data keeps its order.
    Millis jitter = 0;
    /// Combines the conditions of another rule with these.
    void add(const Conditions& other);
};

/// Forwards TCP connections and datagrams between nodes according to the rules in force.
class Relay {
public:
    /// Applies the conditions to traffic from the nodes in `from` to the nodes in `to`, and with `both_ways`
    /// also to traffic in the opposite direction.
    struct Rule {
        std::set<std::string> from, to;
        bool both_ways = true;
        Conditions conditions;
    };
    using RuleId = std::uint64_t;

    explicit Relay(std::uint64_t seed);
    ~Relay();

    // The functions below may be called from any thread.

    /// Creates a link to a TCP address of node `to` and returns the address at which node `from` reaches it.
    Tcp::endpoint tcp_link(const std::string& from, const std::string& to, const Tcp::endpoint& address);
    /// Creates the datagram links between peers `a` and `b`, and returns the address to which `a` sends its
    /// datagrams for `b` and from which it receives datagrams of `b`. Datagrams for a peer are lost until
    /// set_peer_address() has been called for it.
    Udp::endpoint udp_link(const std::string& a, const std::string& b);
    /// Creates a TCP link between peers. Connections are reset until set_peer_address() has been called for
    /// `to`.
    Tcp::endpoint peer_link(const std::string& from, const std::string& to);
    /// Sets the peer's own address, which is the same for UDP and TCP. Must be called again after a change.
    void set_peer_address(const std::string& node, const Udp::endpoint& address);
    /// Starts or stops refusing connections to the node. Open connections are reset when refusal starts.
    void set_refused(const std::string& node, bool refused);

    /// Puts a rule into force and returns the id by which remove() lifts it.
    RuleId add(Rule rule);
    void remove(RuleId rule);

    struct Counts {
        std::uint64_t connections = 0, bytes = 0, datagrams = 0, datagrams_lost = 0;
        std::size_t open = 0;
    };
    Counts counts();

private:
    struct Direction {
        std::string from, to;
        Conditions now;
        asio::steady_timer changed;  ///< Cancelled on every change of the rules, which wakes its waiters.
    };
    struct Connection;
    struct Link {
        std::unique_ptr<Direction> out, back;
        std::optional<Tcp::endpoint> target;  ///< Empty for a link to a peer: see peer_addresses_.
        std::optional<Tcp::acceptor> acceptor;
        bool refused = false, silenced = false;
        std::optional<Tcp::socket> filler;  ///< Fills the listener's queue while silenced.
        std::list<std::weak_ptr<Connection>> connections;
    };
    struct UdpEnd {
        std::string owner, other;
        std::unique_ptr<Direction> out;  ///< Direction from the owner to the other node.
        Udp::socket socket;
    };

    std::unique_ptr<Direction> direction(const std::string& from, const std::string& to);
    void update_conditions(Direction& direction);
    void apply(Link& link);
    Tcp::endpoint make_link(const std::string& from, const std::string& to,
                            std::optional<Tcp::endpoint> target);
    void open(Link& link);
    void end_connections(Link& link);
    void apply_rules();
    UdpEnd& udp_end(const std::string& owner, const std::string& other);
    Millis delay_of(const Conditions& conditions);
    Task accept(Link& link);
    Task connect(Link& link, std::shared_ptr<Connection> connection);
    Task pump(std::shared_ptr<Connection> connection, Tcp::socket& in, Tcp::socket& out,
              Direction& direction);
    Task receive(UdpEnd& end);
    Task deliver(UdpEnd& from, std::vector<std::uint8_t> bytes, Millis delay);

    Worker worker_;
    std::mt19937_64 random_;
    std::map<RuleId, Rule> rules_;
    RuleId next_rule_ = 1;
    std::list<Link> links_;
    std::map<std::pair<std::string, std::string>, UdpEnd> udp_;
    std::map<std::string, Udp::endpoint> peer_addresses_;
    Counts counts_;
};

}  // namespace mothring::lab
