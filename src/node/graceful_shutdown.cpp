#include "node/graceful_shutdown.hpp"

#include <algorithm>
#include <utility>

#include "net/log.hpp"

namespace mothring::node {

namespace {

/// For how long new connections are accepted. They arrive for up to 400 ms after the start of the shutdown.
constexpr Millis kAcceptTime = 500;
/// The platform may send SIGKILL once the longest deadline of any request class plus this time has passed
/// since SIGTERM.
constexpr Millis kKillGrace = 700;
/// The longest time for which the process may stall just when responses are due.
constexpr Millis kMaxStall = 150;
/// Time for writing the last responses.
constexpr Millis kWriteTime = 20;
constexpr Millis kReserve = kMaxStall + kWriteTime;
/// A request that arrives within kKillGrace of SIGTERM may go without a response. The process may have
/// noticed SIGTERM late.
constexpr Millis kExcusedTime = kKillGrace - kMaxStall;
/// How long before the end connections without a request are closed.
constexpr Millis kCloseWaitingBeforeEnd = 300;
constexpr Millis kCheckInterval = 50;
/// The limit of the whole shutdown. It is long because a request that arrived before the shutdown may have
/// more time left than the longest deadline, and the shutdown waits for it.
constexpr Millis kMaxShutdownTime = 60000;

}  // namespace

GracefulShutdown::GracefulShutdown(boost::asio::io_context& io, const net::Clock& clock,
                                   Millis longest_deadline, const InFlightRequests& in_flight)
    : clock_(clock), longest_deadline_(longest_deadline), in_flight_(in_flight), timer_(io) {}

void GracefulShutdown::drain(DownstreamListener& listener) {
    listener_ = &listener;
    net::log(net::LogLevel::info, "drain.began", {{"requests", in_flight_.size()}});
    began_at_ = clock_.now();
    ends_at_ = began_at_ + longest_deadline_ + kKillGrace - kReserve;
    listener.drain(kAcceptTime);
    close_waiting_after(std::max(kAcceptTime, ends_at_ - kCloseWaitingBeforeEnd - clock_.now()),
                        kMaxShutdownTime);
}

void GracefulShutdown::finish() {
    if (on_finished_) std::exchange(on_finished_, nullptr)();
}

Millis GracefulShutdown::limit(Millis time_left) const {
    return ends_at_ > 0 ? std::clamp(ends_at_ - clock_.now(), 0.0, time_left) : time_left;
}

bool GracefulShutdown::must_end_response(Millis complete_at) const {
    return ends_at_ > 0 && complete_at > began_at_ + kExcusedTime;
}

void GracefulShutdown::close_waiting_after(Millis delay, Millis remaining) {
    timer_.expires_after(net::to_duration(delay));
    timer_.async_wait(guard_.while_alive([this, remaining = remaining - delay] {
        if (!in_progress()) return;
        listener_->close_waiting_connections();
        if (listener_->connection_count() > 0 && remaining > 0)
            return close_waiting_after(kCheckInterval, remaining);
        if (!in_flight_.empty())
            net::log(net::LogLevel::err, "drain.cut_off", {{"requests", in_flight_.size()}});
        finish();
    }));
}

}  // namespace mothring::node
