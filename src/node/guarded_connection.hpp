/// @file
/// A connection that no failure leaves hanging.
#pragma once

#include <memory>
#include <utility>

namespace mothring::node::downstream {

/// What works for a connection in later turns of the loop holds it through this. An exception (no memory,
/// say) must not leave a client waiting in vain: it closes the connection, which the client sees.
class GuardedConnection : public std::enable_shared_from_this<GuardedConnection> {
public:
    GuardedConnection() = default;
    GuardedConnection(const GuardedConnection&) = delete;
    GuardedConnection& operator=(const GuardedConnection&) = delete;

    virtual bool is_open() const = 0;
    virtual void close() = 0;

    /// Does the work, and closes the connection where that throws.
    /// @throws whatever the work throws.
    template <class Work>
    void guarded(Work&& work) {
        const auto self = shared_from_this();
        try {
            work();
        } catch (...) {
            close();
            throw;
        }
    }

    /// @return a handler that does the work, guarded, unless the connection is closed by then. It keeps the
    ///     connection alive. It is to be moved and never copied: a copy may fail for want of memory where
    ///     nobody sees it.
    template <class Work>
    auto if_open(Work work) {
        return [self = shared_from_this(), work = std::move(work)]() mutable {
            if (self->is_open()) self->guarded(work);
        };
    }

protected:
    ~GuardedConnection() = default;
};

}  // namespace mothring::node::downstream
