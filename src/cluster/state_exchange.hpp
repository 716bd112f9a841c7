/// @file
/// Anti-entropy over TCP. The caller sends the digest of its state. If the digest of the other member
/// differs, each sends the other its complete state.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "cluster/codec.hpp"
#include "cluster/membership.hpp"
#include "cluster/message_verifier.hpp"
#include "cluster/settings.hpp"
#include "cluster/traffic_counters.hpp"
#include "net/socket_errors.hpp"

namespace mothring::cluster {

/// Joins the fleet through its seeds, begins exchanges with other members and answers theirs.
class StateExchange {
public:
    /// Objects that the exchange uses. All references must outlive it.
    struct Inputs {
        boost::asio::io_context& io;
        const Settings& settings;
        Tcp::acceptor& acceptor;
        const Membership& membership;
        Codec& codec;
        MessageVerifier& verifier;
        TrafficCounters& traffic;
        std::mt19937_64& random;
    };
    /// Functions called on events.
    struct Hooks {
        /// Called with the complete state of another member.
        std::function<void(const Sync&)> received;
        /// Called if a seed has not answered.
        std::function<void(const Tcp::endpoint& seed)> unanswered;
    };
    /// Keeps the exchange and the objects that it refers to alive while an operation is pending.
    using Self = std::shared_ptr<StateExchange>;

    StateExchange(const Inputs& inputs, Hooks hooks);

    /// Starts to answer exchanges, and to join through the seeds if there are any.
    static void start(const Self& self);
    /// Begins an exchange.
    static void begin(const Self& self, const Tcp::endpoint& address);
    /// Stops accepting connections; exchanges in progress run to their end or time limit.
    void close();

private:
    template <class Result>
    using Awaitable = boost::asio::awaitable<Result>;

    static Awaitable<void> join(Self self);
    static Awaitable<void> call_unanswered(Self self, std::deque<Tcp::endpoint>& unanswered);
    static Awaitable<bool> call(Self self, Tcp::endpoint address);
    static Awaitable<void> accept(Self self);
    static Awaitable<void> answer(Self self, std::shared_ptr<Tcp::socket> socket);
    Awaitable<void> write(Tcp::socket& socket, Sync sync);
    Awaitable<std::optional<Sync>> read(Tcp::socket& socket);

    std::vector<Tcp::endpoint> other_seeds() const;
    Millis time_limit() const;
    Sync sync(bool complete) const;

    Inputs inputs_;
    Hooks hooks_;
    net::FailurePace accept_pace_;
    std::size_t answering_ = 0;  // number of exchanges being answered
    bool closed_ = false;
};

}  // namespace mothring::cluster
