#include "node/overdue_sweep.hpp"

#include <algorithm>
#include <utility>

namespace mothring::node {

namespace {

constexpr Millis kSweepInterval = 50;
// After a deadline: what brings the response has brought it by then. 500 ms are allowed.
constexpr Millis kOverdueAfter = 100;

}  // namespace

OverdueSweep::OverdueSweep(boost::asio::io_context& io, const net::Clock& clock, const RequestTable& requests,
                           TimeOut time_out)
    : clock_(clock), requests_(requests), time_out_(std::move(time_out)), timer_(io) {}

void OverdueSweep::watch_all() {
    for (const auto& [id, request] : requests_.all()) last_suspect_ = std::max(last_suspect_, id);
}

void OverdueSweep::schedule() {
    timer_.expires_after(net::to_duration(kSweepInterval));
    timer_.async_wait(guard_.while_alive([this] {
        time_out_overdue();
        if (has_suspects()) schedule();
    }));
}

bool OverdueSweep::is_suspect(RequestId id, const Request& request) const {
    if (id > last_suspect_ || request.has_ended) return false;
    return std::ranges::none_of(request.attempts, [](const Attempt& attempt) {
        return attempt.in_flight && attempt.has_response_started();
    });
}

bool OverdueSweep::is_overdue(RequestId id, const Request& request) const {
    return is_suspect(id, request) && clock_.now() >= request.deadline + kOverdueAfter;
}

// A response may end other requests too: the search begins anew after each.
void OverdueSweep::time_out_overdue() {
    const RequestTable::Map& all = requests_.all();
    const auto overdue = [this](const auto& entry) { return is_overdue(entry.first, entry.second); };
    for (auto at = std::ranges::find_if(all, overdue); at != all.end();
         at = std::ranges::find_if(all, overdue))
        time_out_(at->first);
}

bool OverdueSweep::has_suspects() const {
    return std::ranges::any_of(requests_.all(),
                               [this](const auto& entry) { return is_suspect(entry.first, entry.second); });
}

}  // namespace mothring::node
