#include "node/overdue_sweep.hpp"

#include <algorithm>
#include <utility>

namespace mothring::node {

namespace {

constexpr Millis kSweepInterval = 50;
// Delay after a request's deadline before the sweep times the request out. The regular response has been sent
// by then. The platform allows 500 ms after the deadline.
constexpr Millis kOverdueAfter = 100;

}  // namespace

OverdueSweep::OverdueSweep(boost::asio::io_context& io, const net::Clock& clock, const RequestTable& requests,
                           TimeOut time_out)
    : clock_(clock), requests_(requests), time_out_(std::move(time_out)), timer_(io) {}

void OverdueSweep::watch_all() {
    for (const auto& [id, request] : requests_.all()) last_watched_ = std::max(last_watched_, id);
}

void OverdueSweep::schedule() {
    timer_.expires_after(net::to_duration(kSweepInterval));
    timer_.async_wait(guard_.while_alive([this] {
        time_out_overdue();
        if (has_watched_requests()) schedule();
    }));
}

bool OverdueSweep::is_watched(RequestId id, const Request& request) const {
    if (id > last_watched_ || request.has_ended) return false;
    return std::ranges::none_of(request.attempts, [](const Attempt& attempt) {
        return attempt.in_flight && attempt.has_response_started();
    });
}

bool OverdueSweep::is_overdue(RequestId id, const Request& request) const {
    return is_watched(id, request) && clock_.now() >= request.deadline + kOverdueAfter;
}

// The search restarts after each time-out because time_out_() may also end other requests.
void OverdueSweep::time_out_overdue() {
    const RequestTable::Map& all = requests_.all();
    const auto overdue = [this](const auto& entry) { return is_overdue(entry.first, entry.second); };
    for (auto at = std::ranges::find_if(all, overdue); at != all.end();
         at = std::ranges::find_if(all, overdue))
        time_out_(at->first);
}

bool OverdueSweep::has_watched_requests() const {
    return std::ranges::any_of(requests_.all(),
                               [this](const auto& entry) { return is_watched(entry.first, entry.second); });
}

}  // namespace mothring::node
