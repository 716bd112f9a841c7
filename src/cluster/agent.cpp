#include "cluster/agent.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <random>
#include <span>
#include <utility>

#include "cluster/datagram_receiver.hpp"
#include "cluster/listening_sockets.hpp"
#include "cluster/message_verifier.hpp"
#include "cluster/peer_addresses.hpp"
#include "cluster/state_exchange.hpp"
#include "net/address.hpp"

namespace mothring::cluster {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr double kRateWindowPeriods = 10;
constexpr double kMillisPerSecond = 1000;
// Number of random bits of an instance ID, below the bits of its start time.
constexpr unsigned kInstanceRandomBits = 16;

std::uint64_t new_instance_id(Millis now) {
    constexpr std::uint64_t kRandomMask = (1U << kInstanceRandomBits) - 1;
    return static_cast<std::uint64_t>(now) << kInstanceRandomBits | (std::random_device{}() & kRandomMask);
}

// Measures the rate at which a counter grows, over windows of at least the given length.
class RateMeter {
public:
    explicit RateMeter(Millis window) : window_(window) {}

    void update(Millis now, std::uint64_t count) {
        if (now - started_at_ < window_) return;
        if (started_at_ > 0)
            per_second_ =
                static_cast<double>(count - count_at_start_) / (now - started_at_) * kMillisPerSecond;
        started_at_ = now;
        count_at_start_ = count;
    }
    // Returns the rate over the last completed window.
    double per_second() const { return per_second_; }

private:
    Millis window_;
    Millis started_at_ = 0;
    std::uint64_t count_at_start_ = 0;
    double per_second_ = 0;
};

}  // namespace

/// The agent's implementation. Pending operations on its sockets and timers keep it alive until it is closed.
class Agent::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, Settings settings, std::string name, std::string version, Callbacks callbacks,
         net::Clock clock);
    /// Begins to receive, answer and probe.
    void begin();
    /// Stops all operations. No callback is called after that.
    void close();
    void leave();
    Udp::endpoint address() const { return sockets_.udp.local_endpoint(); }
    AgentStatistics statistics() const;

private:
    // The parts that run the protocol; they are created when the listening address is known.
    struct Protocol {
        Protocol(Impl& agent, const Claim& self);

        Codec codec;
        Membership membership;
        PeerAddresses addresses;
        MessageVerifier verifier;
        StateExchange exchange;
    };

    Claim claim_of_self(std::string name, std::string version) const;
    // Returns a pointer to a part of this agent that keeps the whole agent alive.
    template <class Part>
    std::shared_ptr<Part> shared(Part& part) {
        return {shared_from_this(), &part};
    }

    void receive_datagram(std::span<const std::uint8_t> bytes, const Udp::endpoint& sender);
    void send_datagram(const Message& message, const Udp::endpoint& address);
    void send_empty_gossip(const Tcp::endpoint& seed);
    void merge(const Sync& sync);
    void report_rejection(Rejection reason, const std::string& from);

    void run_due();
    void execute(const Effects& effects);
    void report_view();

    asio::io_context& io_;
    Settings settings_;
    Callbacks callbacks_;
    net::Clock clock_;
    ListeningSockets sockets_;
    asio::steady_timer timer_;
    DatagramReceiver datagrams_;
    std::mt19937_64 random_;
    TrafficCounters traffic_;
    RateMeter send_rate_;
    std::optional<Protocol> protocol_;
    // State of the last reported view.
    std::size_t reported_present_ = 0;
    bool reported_quorum_ = false;
    bool closed_ = false;
};

Agent::Impl::Protocol::Protocol(Impl& agent, const Claim& self)
    : codec(agent.settings_.key, self.name, self.instance_id),
      membership(self, agent.settings_.parameters, agent.random_()),
      addresses(agent.settings_, membership),
      verifier({agent.clock_, membership, addresses, codec, agent.traffic_},
               agent.settings_.parameters.period,
               {[&agent](Rejection reason, const std::string& from) { agent.report_rejection(reason, from); },
                [&agent](const Message& message, const Udp::endpoint& address) {
                    agent.send_datagram(message, address);
                }}),
      exchange({agent.io_, agent.settings_, agent.sockets_.acceptor, membership, codec, verifier,
                agent.traffic_, agent.random_},
               {[&agent](const Sync& sync) { agent.merge(sync); },
                [&agent](const Tcp::endpoint& seed) { agent.send_empty_gossip(seed); }}) {}

Agent::Impl::Impl(asio::io_context& io, Settings settings, std::string name, std::string version,
                  Callbacks callbacks, net::Clock clock)
    : io_(io),
      settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      clock_(std::move(clock)),
      sockets_(io),
      timer_(io),
      datagrams_(io, sockets_.udp,
                 {[this](std::span<const std::uint8_t> bytes, const Udp::endpoint& sender) {
                      receive_datagram(bytes, sender);
                  },
                  [this] { run_due(); }}),
      random_(std::random_device{}()),
      send_rate_(kRateWindowPeriods * settings_.parameters.period) {
    sockets_.listen(settings_.bind);
    protocol_.emplace(*this, claim_of_self(std::move(name), std::move(version)));
}

Claim Agent::Impl::claim_of_self(std::string name, std::string version) const {
    Claim self;
    self.name = std::move(name);
    self.instance_id = new_instance_id(clock_.now());
    self.incarnation = static_cast<std::uint64_t>(clock_.now());
    self.udp = settings_.advertise.value_or(net::format_endpoint(sockets_.udp.local_endpoint()));
    self.tcp = self.udp;
    self.version = std::move(version);
    return self;
}

void Agent::Impl::begin() {
    DatagramReceiver::start(shared(datagrams_));
    StateExchange::start(shared(protocol_->exchange));
    run_due();
}

void Agent::Impl::close() {
    closed_ = true;
    callbacks_ = {};  // the objects that the callbacks use may be destroyed
    datagrams_.close();
    protocol_->exchange.close();
    timer_.cancel();
}

void Agent::Impl::leave() {
    Effects effects;
    protocol_->membership.leave(clock_.now(), effects);
    execute(effects);
}

AgentStatistics Agent::Impl::statistics() const {
    const Membership& membership = protocol_->membership;
    AgentStatistics statistics;
    static_cast<TrafficCounters&>(statistics) = traffic_;
    statistics.view = membership.view();
    statistics.incarnation = membership.self().incarnation;
    statistics.awareness = membership.awareness();
    statistics.superseded = membership.superseded();
    statistics.counters = membership.counters();
    statistics.bytes_sent_per_s = send_rate_.per_second();
    statistics.members = membership.members();
    return statistics;
}

// ---- Messages

void Agent::Impl::receive_datagram(std::span<const std::uint8_t> bytes, const Udp::endpoint& sender) {
    const std::string from = net::format_endpoint(sender);
    const auto payload = protocol_->verifier.open(bytes, Codec::kMaxDatagramBytes, from, sender);
    if (!payload) return;
    const auto* const message = std::get_if<Message>(&*payload);
    if (!message) {
        protocol_->verifier.reject(Rejection::malformed, from);
        return;
    }
    Effects effects;
    protocol_->membership.receive(clock_.now(), *message, from, effects);
    execute(effects);
}

void Agent::Impl::send_datagram(const Message& message, const Udp::endpoint& address) {
    const Bytes bytes = protocol_->codec.seal(message);
    if (bytes.size() > Codec::kMaxDatagramBytes)
        return;       // the limit on claims keeps messages below this size
    error_code lost;  // errors are ignored, as datagrams may be lost anyway
    sockets_.udp.send_to(asio::buffer(bytes), address, 0, lost);
    traffic_.bytes_sent += bytes.size();
    ++traffic_.datagrams_sent;
}

// Sends a datagram without claims to a seed that has not answered a state exchange. The seed may treat this
// process instance as a replay and needs an address to challenge. A state exchange does not give it one, but
// a datagram does by its source address.
void Agent::Impl::send_empty_gossip(const Tcp::endpoint& seed) {
    const Membership& membership = protocol_->membership;
    if (membership.is_silent()) return;
    const Udp::endpoint address(seed.address(), seed.port());
    send_datagram({Message::Kind::gossip, 0, membership.self().name, "", {}}, address);
}

void Agent::Impl::merge(const Sync& sync) {
    Effects effects;
    protocol_->membership.merge(clock_.now(), sync.claims, sync.from, effects);
    execute(effects);
    run_due();
}

void Agent::Impl::report_rejection(Rejection reason, const std::string& from) {
    if (callbacks_.rejected) callbacks_.rejected(reason, from);
}

// ---- Time

void Agent::Impl::run_due() {
    Membership& membership = protocol_->membership;
    const Millis now = clock_.now();
    if (membership.next() <= now) {
        datagrams_.drain();  // datagrams that arrived before the deadlines must count
        Effects effects;
        membership.tick(clock_.now(), effects);
        execute(effects);
    }
    send_rate_.update(now, traffic_.bytes_sent);
    timer_.expires_at(clock_.to_time_point(membership.next()));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->closed_) self->run_due();
    });
}

void Agent::Impl::execute(const Effects& effects) {
    for (const Effects::Send& send : effects.sends)
        if (const auto address = protocol_->addresses.udp(send)) send_datagram(send.message, *address);
    for (const Effects::Change& change : effects.changes)
        if (callbacks_.member_changed) callbacks_.member_changed(change);
    for (const std::string& name : effects.syncs)
        if (const auto address = protocol_->addresses.tcp(name))
            StateExchange::begin(shared(protocol_->exchange), *address);
    if (!effects.syncs.empty() || !effects.changes.empty()) report_view();
}

// Reports the view if it differs from the last reported one.
void Agent::Impl::report_view() {
    const View view = protocol_->membership.view();
    if (view.present() == reported_present_ && view.quorum() == reported_quorum_) return;
    reported_present_ = view.present();
    reported_quorum_ = view.quorum();
    if (callbacks_.view_changed) callbacks_.view_changed(view);
}

// ---- The agent

Agent::Agent(asio::io_context& io, Settings settings, std::string name, std::string version,
             Callbacks callbacks, net::Clock clock)
    : impl_(std::make_shared<Impl>(io, std::move(settings), std::move(name), std::move(version),
                                   std::move(callbacks), std::move(clock))) {
    impl_->begin();
}
Agent::~Agent() { impl_->close(); }
void Agent::leave() { impl_->leave(); }
Udp::endpoint Agent::address() const { return impl_->address(); }
AgentStatistics Agent::statistics() const { return impl_->statistics(); }

}  // namespace mothring::cluster
