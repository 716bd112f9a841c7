#include "node/hot_restart_monitor.hpp"

#include <utility>

#include "net/clock.hpp"
#include "net/log.hpp"

namespace mothring::node {

namespace {

constexpr Millis kCheckInterval = 50;

}  // namespace

HotRestartMonitor::HotRestartMonitor(boost::asio::io_context& io, const std::string& name, OnChange on_change)
    : lock_(HotRestartLock::temporary_folder(), name), on_change_(std::move(on_change)), timer_(io) {}

void HotRestartMonitor::start() {
    check();
    timer_.expires_after(net::to_duration(kCheckInterval));
    timer_.async_wait(guard_.while_alive([this] { start(); }));
}

/// While it is unknown whether another process runs, this one is limited as if there were one.
void HotRestartMonitor::check() {
    const OtherProcess before = other_process_;
    other_process_ = lock_.check();
    if (other_process_ == before) return;
    log_state();
    const bool may_overlap = other_process_ != OtherProcess::alone;
    if (may_overlap != (before != OtherProcess::alone)) on_change_(may_overlap);
}

void HotRestartMonitor::log_state() const {
    switch (other_process_) {
        case OtherProcess::alone:
            return net::log(net::LogLevel::info, "hot_restart.alone", {{"limits", "all of the limits"}});
        case OtherProcess::shared:
            return net::log(net::LogLevel::info, "hot_restart.shared",
                            {{"limits", "half of the limits each"}});
        case OtherProcess::unknown:
            return net::log(
                net::LogLevel::warn, "hot_restart.unknown",
                {{"limits", "half of the limits"}, {"path", lock_.path()}, {"error", lock_.error()}});
    }
}

}  // namespace mothring::node
