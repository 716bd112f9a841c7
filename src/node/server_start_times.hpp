// When each server started, on the sidecar's own time line. Servers report it by a wall clock (`started_ms`),
// and a wall clock may be stepped, forward or back: this machine's, the server's, or all. So each start is
// dated once, at the first sight of that incarnation, and its age is carried on by the monotonic clock.
// No clock is read here: times come in.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "mothring/balancer.hpp"

namespace mothring::node {

class ServerStartTimes {
public:
    // What is known of the time at which a list has come (ms).
    struct Moment {
        Millis now = 0;   // on the sidecar's time line, which runs on with the monotonic clock
        Millis wall = 0;  // by this machine's wall clock, Unix time
        // Since the answer of discovery before this one. None: there is none that told all up to then.
        std::optional<Millis> since_answer{};
    };
    struct Start {
        Millis at = 0;         // on the sidecar's time line; 0: long ago
        bool dated = true;     // else the report can't be right, and `at` is the first sight of it
        bool changed = false;  // `dated`, against what was last told of this server
    };

    // Of a server that is on the list; `reported`: its `started_ms`, 0 for long ago. Another report than the
    // one before, earlier or later, is another incarnation, and starts later than the one before. Only 0
    // tells of none.
    Start start_of(const std::string& server, Millis reported, const Moment& moment);

    // The server is on no list any more. Should it return, the same incarnation keeps its age for some time.
    void unlisted(const std::string& server, Millis now);

    // Servers of which something is kept.
    std::size_t size() const { return records_.size(); }

private:
    struct Record {
        Millis reported = 0;
        Millis at = 0;
        bool dated = true;
        std::optional<Millis> unlisted_at;
    };
    void forget_old(Millis now);

    std::unordered_map<std::string, Record> records_;      // of servers that have reported a start
    std::deque<std::pair<Millis, std::string>> unlisted_;  // when, and who; the earliest first
};

}  // namespace mothring::node
