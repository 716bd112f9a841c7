/// @file
/// After a failure: gives a response to requests that have lost what would have brought it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "net/clock.hpp"
#include "node/lifetime_guard.hpp"
#include "node/request_table.hpp"

namespace mothring::node {

/// A failure may have cost any request that is held its event, attempt or timer. Each of them is watched
/// until it has ended; one that is past its deadline by then is timed out.
class OverdueSweep {
public:
    using TimeOut = std::function<void(RequestId id)>;

    /// @param clock, requests  must outlive this.
    /// @param time_out  ends a request that is overdue.
    OverdueSweep(boost::asio::io_context& io, const net::Clock& clock, const RequestTable& requests,
                 TimeOut time_out);

    /// Something has failed: all requests held are suspect. schedule() has to follow.
    void watch_all();
    /// Begins, or goes on, to look at the suspect requests.
    void schedule();

private:
    bool is_suspect(RequestId id, const Request& request) const;
    bool is_overdue(RequestId id, const Request& request) const;
    void time_out_overdue();
    bool has_suspects() const;

    const net::Clock& clock_;
    const RequestTable& requests_;
    TimeOut time_out_;
    /// At the last failure no later request was held.
    RequestId last_suspect_ = 0;
    boost::asio::steady_timer timer_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
