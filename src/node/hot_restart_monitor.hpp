/// @file
/// Monitors whether another process of this sidecar runs, as in a hot restart.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "node/hot_restart_lock.hpp"
#include "node/lifetime_guard.hpp"

namespace mothring::node {

/// Checks the hot-restart lock periodically, logs each change and reports it.
class HotRestartMonitor {
public:
    /// @param may_overlap  whether another process runs or may run.
    using OnChange = std::function<void(bool may_overlap)>;

    /// @param name  identifies this sidecar among others on the machine.
    HotRestartMonitor(boost::asio::io_context& io, const std::string& name, OnChange on_change);

    /// Checks now and periodically from then on. The initial state is that no other process runs; if this
    /// check finds one, it is reported before this function returns.
    void start();

private:
    void check();
    void log_state() const;

    HotRestartLock lock_;
    OnChange on_change_;
    OtherProcess other_process_ = OtherProcess::alone;
    boost::asio::steady_timer timer_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
