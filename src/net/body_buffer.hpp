/// @file
/// A bounded buffer for the bytes of a body on their way from one connection to another.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace mothring::net {

/// The memory that all buffers of a sidecar may hold together, in bytes. Beyond the limit each still gets
/// BodyBuffer::kLeast, so that all requests make progress.
struct BufferBudget {
    std::size_t limit = 0;
    std::size_t used = 0;
};

/// Connects one writer with one reader. The writer pauses while there is no room, the reader while there is
/// nothing to read; each resumes the other by a callback. What has been read stays for a retry as long as the
/// buffer has room for the rest beside it.
class BodyBuffer {
public:
    /// The largest capacity, and so the longest body that is kept for a retry.
    static constexpr std::size_t kMaxCapacity = 64 * 1024;
    /// The capacity where the budget is used up.
    static constexpr std::size_t kMinCapacity = 4 * 1024;

    /// @param length  of the complete body; absent: not known.
    BodyBuffer(std::shared_ptr<BufferBudget> budget, std::optional<std::uint64_t> length)
        : length(length), budget_(std::move(budget)) {}
    ~BodyBuffer() { resize(0); }
    BodyBuffer(const BodyBuffer&) = delete;
    BodyBuffer& operator=(const BodyBuffer&) = delete;

    /// Of the complete body; absent: not known.
    const std::optional<std::uint64_t> length;

    // ---- The writer's side ----

    /// Called when there is room again.
    std::function<void()> on_writable;
    /// How many bytes can be written now; allocates the memory of an empty buffer.
    std::size_t free_space() {
        if (size_ == 0) grow();
        return capacity_ - size_;
    }
    bool is_full() { return free_space() == 0; }
    /// Where to write; room() bytes.
    char* write_pointer() { return bytes_.get() + size_; }
    /// So many bytes have been written to space().
    void commit(std::size_t count) {
        size_ += count;
        total_ += count;
        if (on_readable) on_readable();
    }
    /// The body is complete.
    void mark_complete() {
        state_ = State::complete;
        if (on_readable) on_readable();
    }
    /// The rest of the body won't come.
    void mark_truncated() {
        state_ = State::broken;
        if (on_readable) on_readable();
    }

    // ---- The reader's side ----

    /// Called when there are bytes, the body is complete, or its rest won't come.
    std::function<void()> on_readable;
    /// What has not been taken yet; valid until take().
    std::string_view unread() const { return {bytes_.get() + read_, size_ - read_}; }
    /// So many bytes of unread() have been read.
    void consume(std::size_t count) {
        read_ += count;
        if (kept_ && (state_ == State::complete || size_ < capacity_)) return;
        if (read_ > 0) kept_ = false;
        std::memmove(bytes_.get(), bytes_.get() + read_, size_ - read_);
        size_ -= std::exchange(read_, 0);
        if (state_ == State::incomplete && on_writable) on_writable();
    }
    /// Whether all of the body has been written to the buffer.
    bool is_complete() const { return state_ == State::complete; }
    /// Whether the rest of the body won't come.
    bool is_truncated() const { return state_ == State::broken; }
    /// How many bytes have been written so far.
    std::uint64_t bytes_written() const { return total_; }

    /// Whether all that has been written is still here, so that it can be read from the start again.
    bool is_retained() const { return kept_; }
    /// Starts reading again from the start.
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
