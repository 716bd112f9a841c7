/// @file
/// Prevents timer handlers from running after the object that they use is destroyed.
#pragma once

#include <boost/system/error_code.hpp>
#include <memory>
#include <utility>

namespace mothring::node {

/// Member of an object whose timer handlers it guards. Declare it last, so that it is destroyed first.
class LifetimeGuard {
public:
    LifetimeGuard() = default;
    LifetimeGuard(const LifetimeGuard&) = delete;
    LifetimeGuard& operator=(const LifetimeGuard&) = delete;

    /// Returns a timer handler that calls `work` unless the timer was cancelled or the guard is destroyed. A
    /// timer may expire just before its owner is destroyed, and its handler may be called only afterwards.
    template <class Work>
    auto while_alive(Work work) const {
        return [token = std::weak_ptr<const void>(token_),
                work = std::move(work)](boost::system::error_code cancelled) {
            if (!cancelled && !token.expired()) work();
        };
    }

private:
    std::shared_ptr<const void> token_ = std::make_shared<const char>();
};

}  // namespace mothring::node
