/// @file
/// Times out requests that can no longer get a response after a failure in the sidecar.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "net/clock.hpp"
#include "node/lifetime_guard.hpp"
#include "node/request_table.hpp"

namespace mothring::node {

/// Guarantees a final response after an exception in the sidecar. The exception may have lost the event, the
/// attempt or the timer of any request in the table. The sweep therefore watches these requests until they
/// have ended, and times out each one that is past its deadline.
class OverdueSweep {
public:
    using TimeOut = std::function<void(RequestId id)>;

    /// @param clock, requests  must outlive this object.
    /// @param time_out  called with each request that is overdue; must mark it as ended.
    OverdueSweep(boost::asio::io_context& io, const net::Clock& clock, const RequestTable& requests,
                 TimeOut time_out);

    /// Marks all requests in the table as watched. The caller must call schedule() next.
    void watch_all();
    /// Schedules the next check of the watched requests.
    void schedule();

private:
    bool is_watched(RequestId id, const Request& request) const;
    bool is_overdue(RequestId id, const Request& request) const;
    void time_out_overdue();
    bool has_watched_requests() const;

    const net::Clock& clock_;
    const RequestTable& requests_;
    TimeOut time_out_;
    /// The latest request in the table at the last failure; later requests are not watched.
    RequestId last_watched_ = 0;
    boost::asio::steady_timer timer_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
