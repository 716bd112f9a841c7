/// @file
/// Accounting of the memory that the heads of messages take.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

#include "net/body_buffer.hpp"

namespace mothring::net {

/// Memory for one head, taken from the budget for heads and returned at the end of the object's lifetime.
class HeadMemory {
public:
    /// The size in bytes up to which a head is accepted whatever the others take.
    static constexpr std::size_t kAlwaysGranted = 4 * 1024;

    explicit HeadMemory(std::shared_ptr<BufferBudget> budget) : budget_(std::move(budget)) {}
    ~HeadMemory() { budget_->heads_used -= charged_; }
    HeadMemory(const HeadMemory&) = delete;
    HeadMemory& operator=(const HeadMemory&) = delete;

    /// Sets the number of bytes that the head takes.
    /// @return false, without a change, if the budget does not allow it.
    bool resize(std::size_t bytes) {
        const std::size_t charge = bytes > kAlwaysGranted ? bytes : 0;
        const std::size_t others = budget_->heads_used - charged_;
        if (charge > charged_ && others + charge > budget_->head_limit) return false;
        budget_->heads_used = others + charge;
        charged_ = charge;
        return true;
    }

private:
    std::shared_ptr<BufferBudget> budget_;
    std::size_t charged_ = 0;
};

/// Returns the memory in bytes that the fields of a parsed head take, about. Each field is an allocation of
/// its own, so many short fields take far more than their text.
template <class Fields>
std::size_t memory_of_fields(const Fields& fields) {
    constexpr std::size_t kFieldOverhead = 96;
    std::size_t bytes = 0;
    for (const auto& field : fields)
        bytes += kFieldOverhead + field.name_string().size() + field.value().size();
    return bytes;
}

}  // namespace mothring::net
