#include "node/graceful_shutdown.hpp"

#include <algorithm>
#include <utility>

#include "net/log.hpp"

namespace mothring::node {

namespace {

constexpr Millis kAcceptFor = 500;  // new connections come for up to 400 ms
// So long after SIGTERM, beyond the longest deadline, the process may be killed (PROTOCOL, "Figures").
constexpr Millis kKillGrace = 700;
// The process may stand still for so long just as responses are due.
constexpr Millis kStall = 150;
constexpr Millis kWriteTime = 20;  // of the last responses
constexpr Millis kReserve = kStall + kWriteTime;
// So long before the end, connections without a request are ended.
constexpr Millis kWaitingEndEarly = 300;
constexpr Millis kCheckInterval = 50;
// A request that came before the shutdown may have more time than the longest deadline; it is waited for.
constexpr Millis kLongestShutdown = 60000;

}  // namespace

GracefulShutdown::GracefulShutdown(boost::asio::io_context& io, const net::Clock& clock,
                                   Millis longest_deadline, const InFlightRequests& in_flight)
    : clock_(clock), longest_deadline_(longest_deadline), in_flight_(in_flight), timer_(io) {}

void GracefulShutdown::drain(DownstreamListener& listener) {
    listener_ = &listener;
    net::log(net::LogLevel::info, "drain.began", {{"requests", in_flight_.size()}});
    ends_at_ = clock_.now() + longest_deadline_ + kKillGrace - kReserve;
    listener.drain(kAcceptFor);
    end_waiting_after(std::max(kAcceptFor, ends_at_ - kWaitingEndEarly - clock_.now()), kLongestShutdown);
}

void GracefulShutdown::finish() {
    if (on_finished_) std::exchange(on_finished_, nullptr)();
}

Millis GracefulShutdown::limit(Millis time_left) const {
    return ends_at_ > 0 ? std::clamp(ends_at_ - clock_.now(), 0.0, time_left) : time_left;
}

void GracefulShutdown::end_waiting_after(Millis delay, Millis remaining) {
    timer_.expires_after(net::to_duration(delay));
    timer_.async_wait(guard_.while_alive([this, remaining = remaining - delay] {
        if (!in_progress()) return;
        listener_->end_waiting_connections();
        if (listener_->connection_count() > 0 && remaining > 0)
            return end_waiting_after(kCheckInterval, remaining);
        if (!in_flight_.empty())
            net::log(net::LogLevel::err, "drain.cut_off", {{"requests", in_flight_.size()}});
        finish();
    }));
}

}  // namespace mothring::node
