/// @file
/// The queue of attempt deadlines and Balancer timers.
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

/// The deadline of an attempt.
struct AttemptDeadline {
    RequestId request = 0;
    std::uint32_t attempt = 0;
};

/// Reports each entry once it is due. Entries can't be cancelled: the receiver has to ignore those that are
/// obsolete.
class TimerQueue {
public:
    using Entry = std::variant<AttemptDeadline, TimerToken>;
    using OnDue = std::function<void(const Entry& entry)>;

    /// @param clock  must outlive this.
    TimerQueue(boost::asio::io_context& io, const net::Clock& clock, OnDue on_due);

    /// Adds an entry. The caller has to call arm() afterwards.
    void add(Millis at, const Entry& entry);

    /// Sets the timer to the earliest entry.
    void arm();

private:
    struct Scheduled {
        Millis at = 0;
        std::uint64_t sequence = 0;
        Entry entry;

        /// Returns whether this entry is due after the other. Among entries of the same time, attempt
        /// deadlines come before the Balancer's timers, as on the simulator's wire.
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
