/// @file
/// When each server started, on the sidecar's own time line.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "mothring/balancer.hpp"

namespace mothring::node {

/// Dates the starts of servers. They report them by a wall clock (`started_ms`), and a wall clock may be
/// stepped, forward or back: this machine's, the server's, or all. So each start is dated once, when that
/// incarnation is first seen, and its age is carried on by the monotonic clock. Reads no clock itself.
class ServerStartTimes {
public:
    /// What is known of the time at which a list came.
    struct Moment {
        /// On the sidecar's time line, which runs on with the monotonic clock.
        Millis now = 0;
        /// By this machine's wall clock, Unix time.
        Millis wall = 0;
        /// The time since discovery's previous answer. Absent: there is none that was complete up to then.
        std::optional<Millis> since_answer{};
    };

    struct Start {
        /// On the sidecar's time line; 0: long ago.
        Millis at = 0;
        /// The report can be right; else `at` is when it was first seen.
        bool dated = true;
        /// `dated` differs from what was last returned for this server.
        bool changed = false;
    };

    /// The start of a server that is on the list. A report that differs from the previous one, earlier or
    /// later, is of another incarnation, which starts later than the previous one; only 0 is not.
    /// @param reported  its `started_ms`; 0: long ago.
    Start start_of(const std::string& server, Millis reported, const Moment& moment);

    /// The server is on no list any more. If it returns within some time, the same incarnation keeps its age.
    void unlisted(const std::string& server, Millis now);

    /// Servers of which something is remembered.
    std::size_t size() const { return records_.size(); }

private:
    struct Record {
        Millis reported = 0;
        Millis at = 0;
        bool dated = true;
        std::optional<Millis> unlisted_at;
    };
    struct Unlisted {
        Millis at = 0;
        std::string server;
    };

    static Start date(const Record* previous, Millis reported, const Moment& moment);
    void forget_old(Millis now);

    /// Of servers that have reported a start.
    std::unordered_map<std::string, Record> records_;
    /// The earliest first.
    std::deque<Unlisted> unlisted_;
};

}  // namespace mothring::node
