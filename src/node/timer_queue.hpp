/// @file
/// The deadlines of attempts and the timers of the Balancer, in the order in which they are due.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <variant>
#include <vector>

#include "mothring/types.hpp"
#include "net/clock.hpp"
#include "node/lifetime_guard.hpp"

namespace mothring::node {

/// The time of an attempt ends.
struct AttemptDeadline {
    RequestId request = 0;
    std::uint32_t attempt = 0;
};

/// Reports each entry once it is due. Nothing is removed before: whoever is told ignores what has ended.
class TimerQueue {
public:
    using Entry = std::variant<AttemptDeadline, TimerToken>;
    using OnDue = std::function<void(const Entry& entry)>;

    /// @param clock  must outlive this.
    TimerQueue(boost::asio::io_context& io, const net::Clock& clock, OnDue on_due);

    /// Adds an entry. arm() has to follow.
    void add(Millis at, const Entry& entry);

    /// Sets the system's timer to the earliest entry.
    void arm();

private:
    struct Scheduled {
        Millis at = 0;
        std::uint64_t sequence = 0;
        Entry entry;

        /// Whether this one is due after the other. At one time attempts end before the Balancer's timers
        /// fire, as on the simulator's wire.
        bool operator<(const Scheduled& other) const;
    };

    void report_due();

    const net::Clock& clock_;
    OnDue on_due_;
    std::priority_queue<Scheduled> scheduled_;
    std::uint64_t next_sequence_ = 0;
    boost::asio::steady_timer timer_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
