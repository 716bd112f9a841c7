/// @file
/// Base class of connections that are closed if one of their handlers fails.
#pragma once

#include <memory>
#include <utility>

namespace mothring::node::downstream {

/// Runs a connection's handlers in later turns of the event loop, keeping the connection alive. If a handler
/// throws, for lack of memory for example, the connection is closed, so that the client does not wait for a
/// response that never comes.
class GuardedConnection : public std::enable_shared_from_this<GuardedConnection> {
public:
    GuardedConnection() = default;
    GuardedConnection(const GuardedConnection&) = delete;
    GuardedConnection& operator=(const GuardedConnection&) = delete;

    virtual bool is_open() const = 0;
    virtual void close() = 0;

    /// Calls `work`, and closes the connection if it throws.
    /// @throws every exception that `work` throws.
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

    /// Returns a handler that calls `work` through guarded() unless the connection is closed by then. The
    /// handler keeps the connection alive. Move the handler and never copy it: a copy may fail for lack of
    /// memory at a point where the failure would go unnoticed.
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
