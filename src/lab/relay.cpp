#include "lab/relay.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

namespace mothring::lab {

using std::chrono::steady_clock;

namespace {

// The minimum delay of a lost TCP segment: Linux's lower limit of the retransmission time-out (RFC 6298).
constexpr Millis kRetransmissionDelay = 200;
constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kMaxDatagramSize = 64 * 1024;

}  // namespace

void Conditions::add(const Conditions& other) {
    silent |= other.silent;
    reset |= other.reset;
    drop = 1 - (1 - drop) * (1 - other.drop);
    delay += other.delay;
    jitter += other.jitter;
}

struct Relay::Connection {
    Connection(Tcp::socket a, asio::io_context& io) : near(std::move(a)), far(io) {}
    void reset() {
        reset_on_close(near);
        reset_on_close(far);
    }
    Tcp::socket near, far;
};

Relay::Relay(std::uint64_t seed) : random_(seed) {}
Relay::~Relay() { worker_.stop(); }

std::unique_ptr<Relay::Direction> Relay::direction(const std::string& from, const std::string& to) {
    auto created = std::make_unique<Direction>(
        Direction{from, to, {}, asio::steady_timer(worker_.io(), steady_clock::time_point::max())});
    update_conditions(*created);
    return created;
}

void Relay::update_conditions(Direction& direction) {
    direction.now = {};
    for (const auto& [id, rule] : rules_) {
        const bool forward = rule.from.contains(direction.from) && rule.to.contains(direction.to);
        const bool backward =
            rule.both_ways && rule.from.contains(direction.to) && rule.to.contains(direction.from);
        if (forward || backward) direction.now.add(rule.conditions);
    }
}

// ---- TCP

Tcp::endpoint Relay::make_link(const std::string& from, const std::string& to,
                               std::optional<Tcp::endpoint> target) {
    Link& link = links_.emplace_back();
    link.out = direction(from, to);
    link.back = direction(to, from);
    link.target = std::move(target);
    // The system chooses a free port, and the listener then binds that port by number. A listener that is
    // shut down to refuse connections keeps its port only if it was bound by number.
    Tcp::acceptor chosen(worker_.io(), Tcp::v4());
    chosen.set_option(asio::socket_base::reuse_address(true));
    chosen.bind(any_tcp_port);
    link.acceptor.emplace(worker_.io(), Tcp::v4());
    link.acceptor->set_option(asio::socket_base::reuse_address(true));
    link.acceptor->bind(chosen.local_endpoint());
    Tcp::endpoint endpoint = link.acceptor->local_endpoint();
    open(link);
    apply(link);
    return endpoint;
}

Tcp::endpoint Relay::tcp_link(const std::string& from, const std::string& to, const Tcp::endpoint& address) {
    return worker_.call([&] { return make_link(from, to, address); });
}

Tcp::endpoint Relay::peer_link(const std::string& from, const std::string& to) {
    return worker_.call([&] { return make_link(from, to, std::nullopt); });
}

void Relay::open(Link& link) {
    link.acceptor->listen(asio::socket_base::max_listen_connections);
    worker_.spawn(accept(link));
}

void Relay::end_connections(Link& link) {
    for (const auto& weak : link.connections)
        if (const auto connection = weak.lock()) connection->reset();
    link.connections.clear();
}

// Silences a link by giving its listener the shortest possible queue and filling it, so that the kernel drops
// new connection attempts.
void Relay::apply(Link& link) {
    error_code ignored;
    if (link.out->now.reset || link.back->now.reset) end_connections(link);
    const bool silent = !link.refused && (link.out->now.silent || link.back->now.silent);
    if (silent == link.silenced) return;
    link.silenced = silent;
    if (silent) {
        link.acceptor->cancel(ignored);
        ::listen(link.acceptor->native_handle(), 0);
        link.filler.emplace(worker_.io(), Tcp::v4());
        // The connect isn't awaited: if the queue is already full, the connection is never established.
        link.filler->native_non_blocking(true, ignored);
        const Tcp::endpoint own = link.acceptor->local_endpoint();
        static_cast<void>(
            ::connect(link.filler->native_handle(), own.data(), static_cast<socklen_t>(own.size())));
    } else {
        link.filler.reset();
        if (!link.refused) open(link);
    }
}

void Relay::set_refused(const std::string& node, bool refused) {
    worker_.call([&] {
        for (Link& link : links_) {
            if (link.out->to != node || link.refused == refused) continue;
            error_code ignored;
            if (refused) {
                link.acceptor->cancel(ignored);
                ::shutdown(link.acceptor->native_handle(), SHUT_RD);
                link.refused = true;
                end_connections(link);
                apply(link);
            } else {
                link.refused = false;
                open(link);
                apply(link);
            }
        }
    });
}

Task Relay::accept(Link& link) {
    for (;;) {
        error_code failed;
        Tcp::socket socket = co_await link.acceptor->async_accept(into(failed));
        if (failed || link.silenced || link.refused) co_return;
        if (link.out->now.reset || link.back->now.reset) {
            reset_on_close(socket);
            continue;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket), worker_.io());
        link.connections.remove_if([](const auto& weak) { return weak.expired(); });
        link.connections.push_back(connection);
        ++counts_.connections;
        worker_.spawn(connect(link, connection));
    }
}

Task Relay::connect(Link& link, std::shared_ptr<Connection> connection) {
    error_code failed;
    connection->near.set_option(Tcp::no_delay(true), failed);
    Tcp::endpoint target;
    if (link.target) {
        target = *link.target;
    } else if (const auto peer = peer_addresses_.find(link.out->to); peer != peer_addresses_.end()) {
        target = {peer->second.address(), peer->second.port()};
    } else {
        connection->reset();
        co_return;
    }
    co_await connection->far.async_connect(target, into(failed));
    if (failed) {
        connection->reset();
        co_return;
    }
    connection->far.set_option(Tcp::no_delay(true), failed);
    worker_.spawn(pump(connection, connection->near, connection->far, *link.out));
    worker_.spawn(pump(connection, connection->far, connection->near, *link.back));
}

Millis Relay::delay_of(const Conditions& conditions) {
    std::uniform_real_distribution<double> uniform(0, 1);
    return conditions.delay + (conditions.jitter > 0 ? conditions.jitter * uniform(random_) : 0);
}

Task Relay::pump(std::shared_ptr<Connection> connection, Tcp::socket& in, Tcp::socket& out,
                 Direction& direction) {
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<char> buffer(kReadSize);
    asio::steady_timer timer(worker_.io());
    for (;;) {
        error_code failed, ignored;
        const std::size_t size = co_await in.async_read_some(asio::buffer(buffer), into(failed));
        if (failed == asio::error::operation_aborted || !out.is_open()) co_return;
        Millis delay = delay_of(direction.now);
        if (direction.now.drop > 0 && uniform(random_) < direction.now.drop) delay += kRetransmissionDelay;
        if (delay > 0) {
            timer.expires_after(to_duration(delay));
            co_await timer.async_wait(into(ignored));
        }
        // The end of a stream, like its data, is held back while the direction is silent.
        while (direction.now.silent && out.is_open()) co_await direction.changed.async_wait(into(ignored));
        if (failed == asio::error::eof) {
            out.shutdown(Tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (failed) {
            connection->reset();
            co_return;
        }
        counts_.bytes += size;
        co_await asio::async_write(out, asio::buffer(buffer.data(), size), into(failed));
        if (failed) {
            connection->reset();
            co_return;
        }
    }
}

// ---- UDP

Relay::UdpEnd& Relay::udp_end(const std::string& owner, const std::string& other) {
    const auto key = std::pair(owner, other);
    if (const auto at = udp_.find(key); at != udp_.end()) return at->second;
    UdpEnd& end = udp_.emplace(key, UdpEnd{owner, other, direction(owner, other),
                                           Udp::socket(worker_.io(), any_udp_port)})
                      .first->second;
    worker_.spawn(receive(end));
    return end;
}

Udp::endpoint Relay::udp_link(const std::string& a, const std::string& b) {
    return worker_.call([&] {
        udp_end(b, a);
        return udp_end(a, b).socket.local_endpoint();
    });
}

void Relay::set_peer_address(const std::string& node, const Udp::endpoint& address) {
    worker_.call([&] { peer_addresses_[node] = address; });
}

Task Relay::receive(UdpEnd& end) {
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<std::uint8_t> buffer(kMaxDatagramSize);
    for (;;) {
        error_code failed;
        Udp::endpoint sender;
        const std::size_t size =
            co_await end.socket.async_receive_from(asio::buffer(buffer), sender, into(failed));
        if (failed == asio::error::operation_aborted) co_return;
        if (failed) continue;
        ++counts_.datagrams;
        const Conditions& now = end.out->now;
        if (now.silent || (now.drop > 0 && uniform(random_) < now.drop)) {
            ++counts_.datagrams_lost;
            continue;
        }
        worker_.spawn(deliver(end, {buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(size)},
                              delay_of(now)));
    }
}

Task Relay::deliver(UdpEnd& from, std::vector<std::uint8_t> bytes, Millis delay) {
    error_code ignored;
    if (delay > 0) {
        asio::steady_timer timer(worker_.io(), to_duration(delay));
        co_await timer.async_wait(into(ignored));
    }
    const auto at = peer_addresses_.find(from.other);
    if (at == peer_addresses_.end()) {
        ++counts_.datagrams_lost;
        co_return;
    }
    // The datagram is sent from the receiver's own link to the sender, so that its source address identifies
    // the sender.
    udp_.at({from.other, from.owner}).socket.send_to(asio::buffer(bytes), at->second, 0, ignored);
}

// ---- Rules

Relay::RuleId Relay::add(Rule rule) {
    return worker_.call([&] {
        rules_.emplace(next_rule_, std::move(rule));
        apply_rules();
        return next_rule_++;
    });
}

void Relay::remove(RuleId rule) {
    worker_.call([&] {
        rules_.erase(rule);
        apply_rules();
    });
}

void Relay::apply_rules() {
    for (Link& link : links_) {
        update_conditions(*link.out);
        update_conditions(*link.back);
        link.out->changed.cancel();
        link.back->changed.cancel();
        apply(link);
    }
    for (auto& [key, end] : udp_) update_conditions(*end.out);
}

Relay::Counts Relay::counts() {
    return worker_.call([&] {
        Counts counts = counts_;
        for (const Link& link : links_)
            counts.open +=
                static_cast<std::size_t>(std::count_if(link.connections.begin(), link.connections.end(),
                                                       [](const auto& c) { return !c.expired(); }));
        return counts;
    });
}

}  // namespace mothring::lab
