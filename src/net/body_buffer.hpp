/// @file
/// A bounded buffer for a message body that is forwarded from one connection to another.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace mothring::net {

/// The memory in bytes that all body buffers of a sidecar may hold together, and all heads. Beyond the limit
/// each buffer still gets BodyBuffer::kMinCapacity, so that all requests make progress; heads are rejected
/// (HeadMemory).
struct BufferBudget {
    std::size_t limit = 0;
    std::size_t used = 0;
    std::size_t head_limit = std::numeric_limits<std::size_t>::max();
    std::size_t heads_used = 0;
};

/// Connects one writer with one reader. The writer pauses while the buffer is full, and the reader while it
/// has no unread bytes; each side resumes the other through a callback. Bytes that have been read are
/// retained for a retry as long as the capacity also holds the rest of the body.
class BodyBuffer {
public:
    /// The largest capacity in bytes, and so the longest body that is retained for a retry.
    static constexpr std::size_t kMaxCapacity = 64 * 1024;
    /// The capacity in bytes of a buffer that is allocated after the budget has been used up.
    static constexpr std::size_t kMinCapacity = 4 * 1024;

    /// @param length  length of the complete body in bytes; absent if unknown.
    BodyBuffer(std::shared_ptr<BufferBudget> budget, std::optional<std::uint64_t> length)
        : length(length), budget_(std::move(budget)) {}
    ~BodyBuffer() { resize(0); }
    BodyBuffer(const BodyBuffer&) = delete;
    BodyBuffer& operator=(const BodyBuffer&) = delete;

    /// The length of the complete body in bytes; absent if unknown.
    const std::optional<std::uint64_t> length;

    // ---- The writer's side ----

    /// Called when the buffer has free space again.
    std::function<void()> on_writable;
    /// Returns how many bytes can be written now. Allocates the memory of an empty buffer.
    std::size_t free_space() {
        if (size_ == 0) grow();
        return capacity_ - size_;
    }
    /// Returns whether no byte can be written now.
    bool is_full() { return free_space() == 0; }
    /// Returns the address for the next write, of up to free_space() bytes.
    char* write_pointer() { return bytes_.get() + size_; }
    /// Appends `count` bytes that have been written to write_pointer().
    void commit(std::size_t count) {
        size_ += count;
        total_ += count;
        if (on_readable) on_readable();
    }
    /// Marks the body as complete.
    void mark_complete() {
        state_ = State::complete;
        if (on_readable) on_readable();
    }
    /// Marks the body as truncated: its writer has failed before the end.
    void mark_truncated() {
        state_ = State::broken;
        if (on_readable) on_readable();
    }

    // ---- The reader's side ----

    /// Called when bytes have been appended, or the body has been marked as complete or truncated.
    std::function<void()> on_readable;
    /// Returns the bytes that have not been consumed yet. They are valid until consume().
    std::string_view unread() const { return {bytes_.get() + read_, size_ - read_}; }
    /// Consumes the first `count` bytes of unread().
    void consume(std::size_t count) {
        read_ += count;
        if (kept_ && (state_ == State::complete || size_ < capacity_)) return;
        if (read_ > 0) kept_ = false;
        std::memmove(bytes_.get(), bytes_.get() + read_, size_ - read_);
        size_ -= std::exchange(read_, 0);
        if (state_ == State::incomplete && on_writable) on_writable();
    }
    /// Returns whether all of the body has been written to the buffer.
    bool is_complete() const { return state_ == State::complete; }
    /// Returns whether the writer has failed before the end of the body.
    bool is_truncated() const { return state_ == State::broken; }
    /// Returns how many bytes have been written so far.
    std::uint64_t bytes_written() const { return total_; }

    /// Returns whether all bytes written so far are still in the buffer, so that they can be read again.
    bool is_retained() const { return kept_; }
    /// Restarts reading at the first byte of the body.
    void rewind() { read_ = 0; }

private:
    enum class State { incomplete, complete, broken };

    void grow() {
        const auto most =
            static_cast<std::size_t>(std::min<std::uint64_t>(length.value_or(kMaxCapacity), kMaxCapacity));
        const bool is_within_budget = budget_->used + most <= budget_->limit + capacity_;
        const std::size_t wanted = is_within_budget ? most : std::min(most, kMinCapacity);
        if (wanted > capacity_) resize(wanted);
    }
    void resize(std::size_t capacity) {
        budget_->used -= capacity_;
        bytes_.reset(capacity > 0 ? new char[capacity] : nullptr);
        capacity_ = capacity;
        budget_->used += capacity_;
    }

    std::shared_ptr<BufferBudget> budget_;
    std::unique_ptr<char[]> bytes_;
    std::size_t capacity_ = 0;
    std::size_t size_ = 0;
    std::size_t read_ = 0;
    std::uint64_t total_ = 0;
    State state_ = State::incomplete;
    bool kept_ = true;
};

}  // namespace mothring::net
