/// @file
/// Keeps timer handlers from running after the object that they work on is gone.
#pragma once

#include <boost/system/error_code.hpp>
#include <memory>
#include <utility>

namespace mothring::node {

/// A member of the object that handlers work on; declared last, so that it is destroyed first.
class LifetimeGuard {
public:
    LifetimeGuard() = default;
    LifetimeGuard(const LifetimeGuard&) = delete;
    LifetimeGuard& operator=(const LifetimeGuard&) = delete;

    /// A timer handler that does the work unless the timer was cancelled or the guard is gone. A timer may
    /// expire just before its owner's end, and its handler be called only after that.
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
