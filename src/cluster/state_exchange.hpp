/// @file
/// Anti-entropy over TCP. The caller sends the digest of its state; where the other's is another, each sends
/// the other its complete state.
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

/// Joins the fleet by its seeds, exchanges states with other members and answers their exchanges.
class StateExchange {
public:
    /// What it works on. All references must outlive the exchange.
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
    /// Whom it reports to.
    struct Hooks {
        /// The complete state of another member.
        std::function<void(const Sync&)> received;
        /// A seed has not answered.
        std::function<void(const Tcp::endpoint& seed)> unanswered;
    };
    /// Keeps the exchange alive, and whatever it refers to, while it waits.
    using Self = std::shared_ptr<StateExchange>;

    StateExchange(const Inputs& inputs, Hooks hooks);

    /// Answers exchanges, and joins by the seeds where there are any.
    static void start(const Self& self);
    /// Begins an exchange.
    static void begin(const Self& self, const Tcp::endpoint& address);
    /// Accepts no connection any more; exchanges under way end by themselves.
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

    Inputs in_;
    Hooks hooks_;
    net::FailurePace accept_pace_;
    std::size_t answering_ = 0;  // exchanges
    bool closed_ = false;
};

}  // namespace mothring::cluster
