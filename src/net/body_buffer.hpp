// Bytes of a body on their way from one connection to another, in a bounded buffer: the writer stops while
// there is no room, the reader while there is nothing to read, and each tells the other to go on.
#pragma once

#include <algorithm>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mothring::net {

// What all buffers of a sidecar may hold together. Beyond it each still gets kLeast, so that all go on.
struct BufferBudget {
    std::size_t limit = 0, used = 0;
};

class BodyBuffer {
public:
    static constexpr std::size_t kMost = 64 * 1024;  // also what is kept whole for another try
    static constexpr std::size_t kLeast = 4 * 1024;

    // `length`: of the whole body, where that is known.
    BodyBuffer(std::shared_ptr<BufferBudget> budget, std::optional<std::uint64_t> length)
        : length(length), budget_(std::move(budget)) {}
    ~BodyBuffer() { resize(0); }
    BodyBuffer(const BodyBuffer&) = delete;
    BodyBuffer& operator=(const BodyBuffer&) = delete;

    const std::optional<std::uint64_t> length;

    // ---- The writer's side ----
    std::function<void()> on_room;
    std::size_t room() {
        if (size_ == 0) grow();
        return capacity_ - size_;
    }
    char* space() { return bytes_.get() + size_; }  // of room()
    void added(std::size_t count) {
        size_ += count;
        total_ += count;
        if (on_more) on_more();
    }
    void finish() {
        whole_ = true;
        if (on_more) on_more();
    }
    void fail() {
        broken_ = true;
        if (on_more) on_more();
    }

    // ---- The reader's side ----
    std::function<void()> on_more;  // bytes, the end, or no more to come
    // Stays where it is until take().
    std::string_view unread() const { return {bytes_.get() + read_, size_ - read_}; }
    void take(std::size_t count) {
        read_ += count;
        // What was taken stays for another try as long as what is yet to come finds room beside it.
        if (kept_ && (whole_ || size_ < capacity_)) return;
        if (read_ > 0) kept_ = false;
        std::memmove(bytes_.get(), bytes_.get() + read_, size_ - read_);
        size_ -= std::exchange(read_, 0);
        if (!whole_ && !broken_ && on_room) on_room();
    }
    bool whole() const { return whole_; }
    bool broken() const { return broken_; }
    std::uint64_t total() const { return total_; }

    // Whether all that has come so far is still here; it can then be read from the start again.
    bool kept() const { return kept_; }
    void rewind() { read_ = 0; }
    bool full() { return room() == 0; }

private:
    void grow() {
        const std::size_t most =
            static_cast<std::size_t>(std::min<std::uint64_t>(length.value_or(kMost), kMost));
        const std::size_t wanted =
            budget_->used + most <= budget_->limit + capacity_ ? most : std::min(most, kLeast);
        if (wanted > capacity_) resize(wanted);
    }
    void resize(std::size_t capacity) {
        budget_->used -= capacity_;
        bytes_.reset(capacity > 0 ? new char[capacity] : nullptr);
        budget_->used += capacity_ = capacity;
    }

    std::shared_ptr<BufferBudget> budget_;
    std::unique_ptr<char[]> bytes_;
    std::size_t capacity_ = 0, size_ = 0, read_ = 0;
    std::uint64_t total_ = 0;
    bool kept_ = true, whole_ = false, broken_ = false;
};

}  // namespace mothring::net
