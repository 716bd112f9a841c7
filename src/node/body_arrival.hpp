/// @file
/// Estimates when a client has sent the last byte of a request body that is not read completely.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace mothring::node::downstream {

/// Computes the earliest time at which a client can have written the last byte of a body. While the sidecar
/// does not read, up to kMaxClientBuffer bytes that the client has written wait in the client's kernel, where
/// they cannot be observed. The last byte may therefore have been written once all but that many bytes had
/// arrived here. All numbers are of bytes as they are received, including the framing of chunks.
class BodyArrival {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// The most bytes that a client's kernel buffers for a connection (the default of Linux).
    static constexpr std::uint64_t kMaxClientBuffer = 4 * 1024 * 1024;

    /// Starts a new body.
    /// @param bytes  bytes of it that have been read with the head.
    /// @param length  length of the complete body; absent if unknown.
    void start(std::size_t bytes, std::optional<std::uint64_t> length);
    /// Records that bytes have been read from the socket.
    void note_read(std::size_t bytes) { read_ += bytes; }
    /// Records how many bytes are unread in the socket. Bytes are only observed by this call, so while
    /// reading is paused it has to be repeated.
    void note_unread(std::size_t bytes, TimePoint now);
    /// Records that no bytes are unread, so that none wait in the client's kernel either.
    void note_all_read() { marks_.clear(); }
    /// Returns the earliest time at which the last byte can have been written, or nullopt if it cannot have
    /// been written yet.
    std::optional<TimePoint> earliest_end() const;

private:
    struct Mark {
        std::uint64_t arrived;
        TimePoint time;  // at which so many bytes had arrived
    };

    std::uint64_t read_ = 0;
    std::uint64_t arrived_ = 0;
    std::optional<std::uint64_t> length_;
    std::vector<Mark> marks_;  // in the order of time; the oldest that are no longer of use are erased
};

}  // namespace mothring::node::downstream
