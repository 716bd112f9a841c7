#include "node/body_arrival.hpp"

#include <algorithm>

namespace mothring::node::downstream {

namespace {

constexpr std::uint64_t kMarkDistance = BodyArrival::kMaxClientBuffer / 16;  // bytes

}  // namespace

void BodyArrival::start(std::size_t bytes, std::optional<std::uint64_t> length) {
    read_ = bytes;
    arrived_ = 0;
    length_ = length;
    marks_.clear();
}

void BodyArrival::note_unread(std::size_t bytes, TimePoint now) {
    arrived_ = std::max(arrived_, read_ + bytes);
    if (!marks_.empty() && arrived_ < marks_.back().arrived + kMarkDistance) return;
    std::erase_if(marks_, [this](const Mark& mark) { return mark.arrived + kMaxClientBuffer < arrived_; });
    marks_.push_back({arrived_, now});
}

std::optional<BodyArrival::TimePoint> BodyArrival::earliest_end() const {
    const std::uint64_t end = length_.value_or(arrived_);
    const auto mark = std::ranges::find_if(
        marks_, [end](const Mark& each) { return each.arrived + kMaxClientBuffer >= end; });
    return mark == marks_.end() ? std::nullopt : std::optional(mark->time);
}

}  // namespace mothring::node::downstream
