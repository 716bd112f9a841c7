/// @file
/// The start times of the servers, on the sidecar's own time line.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "mothring/balancer.hpp"

namespace mothring::node {

/// Dates the starts of servers. Servers report their start by a wall clock (`started_ms`), and the wall clock
/// of this machine, of the server or of all machines may be stepped forward or back. Each start is therefore
/// dated only once, when that incarnation is first seen; from then on its age follows the monotonic clock.
/// This class reads no clock itself.
class ServerStartTimes {
public:
    /// The time at which a list was received.
    struct Moment {
        /// Time on the sidecar's time line, which follows the monotonic clock.
        Millis now = 0;
        /// Unix time by this machine's wall clock.
        Millis wall = 0;
        /// The time since discovery's previous response. Absent: no response from the current address of
        /// discovery had brought the list up to date before.
        std::optional<Millis> since_response{};
    };

    /// The start of a server's incarnation.
    struct Start {
        /// Time on the sidecar's time line; 0: long ago.
        Millis at = 0;
        /// The reported start is plausible; else `at` is when this report was first seen.
        bool is_dated = true;
        /// `is_dated` differs from the value that was last returned for this server.
        bool has_changed = false;
    };

    /// Returns the start of a listed server. A report that differs from the previous one, be it earlier or
    /// later, is taken for a new incarnation, which started after the previous one; a report of 0 is not.
    /// @param reported  the server's `started_ms`; 0: long ago.
    Start start_of(const std::string& server, Millis reported, const Moment& moment);

    /// Records that a server is no longer listed. An incarnation that is listed again within ten minutes
    /// keeps its age.
    void on_unlisted(const std::string& server, Millis now);

    /// Returns the number of servers with a stored start.
    std::size_t size() const { return records_.size(); }

private:
    struct Record {
        Millis reported = 0;
        Millis at = 0;
        bool is_dated = true;
        std::optional<Millis> unlisted_at;
    };
    struct Unlisted {
        Millis at = 0;
        std::string server;
    };

    static Start date(const Record* previous, Millis reported, const Moment& moment);
    void remove_old_records(Millis now);

    /// Records of the servers that have reported a start.
    std::unordered_map<std::string, Record> records_;
    /// Servers that were removed from the list, the earliest first.
    std::deque<Unlisted> unlisted_;
};

}  // namespace mothring::node
