/// @file
/// A memory of the requests that servers may have run, by the clients' request ids.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mothring/types.hpp"

namespace mothring::node {

/// Remembers for a time which requests have been sent to servers, so that a request that comes again under
/// the same id is not run twice. The processes of a sidecar share the memory through a file during a hot
/// restart.
///
/// The memory has a fixed size. Each id has a few places for it, of which it takes the oldest. The places are
/// written without locks, so that no process waits for another.
class AttemptHistory {
public:
    /// An earlier sending of a request.
    struct Entry {
        /// A digest of the server's name.
        std::uint64_t server = 0;
        /// The time since the first attempt.
        Millis age = 0;
        bool in_flight = false;
    };

    /// @param path  the file to share with other processes. If it is absent or cannot be used, this process
    /// has a memory of its own.
    explicit AttemptHistory(const std::optional<std::string>& path);
    ~AttemptHistory();
    AttemptHistory(const AttemptHistory&) = delete;
    AttemptHistory& operator=(const AttemptHistory&) = delete;

    /// Returns the path of the file for a sidecar.
    /// @param name  identifies the sidecar among others on the machine.
    static std::string path_of(const std::string& folder, const std::string& name);

    /// Returns what is known of a request id.
    std::optional<Entry> find(std::string_view request_id) const;
    /// Records that a request is about to be sent. A repeated call keeps the server and the time of the
    /// first.
    void add(std::string_view request_id, std::string_view server);
    /// Records that no attempt of the request is in flight any more.
    void end(std::string_view request_id);
    /// Forgets a request that no server can have run.
    void remove(std::string_view request_id);

    static std::uint64_t digest_of(std::string_view text);

private:
    struct Place {
        std::atomic<std::uint64_t> request;  // the digest of its id; 0 if the place is free
        std::atomic<std::uint64_t> server;
        std::atomic<std::int64_t> sent_at_ns;   // by the clock that all processes of the machine share
        std::atomic<std::int64_t> ended_at_ns;  // 0 while an attempt is in flight
    };
    static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

    Place* find_place(std::uint64_t request) const;
    Place& oldest_place(std::uint64_t request) const;
    Place* first_place(std::uint64_t request) const;

    Place* places_ = nullptr;
};

}  // namespace mothring::node
