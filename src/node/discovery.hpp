/// @file
/// The client of discovery, which keeps the endpoint list up to date.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/config.hpp"

namespace mothring::node {

/// Watches the endpoint list by long polling: sends one call after another to discovery, over a connection
/// that is kept alive. Discovery holds each call open until the list changes or the call's hold time is over.
class Discovery {
public:
    /// A failed call.
    struct Failure {
        ListFailure kind = ListFailure::broken;
        /// The time (ms) until the changes that the held list may lack count as notified; negative if they
        /// count already.
        Millis notified_within = 0;
        /// The delay before the next call that discovery asks for. Absent: discovery asked for none.
        std::optional<Millis> retry_after;
    };
    struct Callbacks {
        /// Reports a changed list, and also the first response after a failure, even if it has no entries.
        std::function<void(const config::DiscoveryList& changes)> on_changed;
        /// Reports a failed call. Not called if failed calls are retried automatically.
        std::function<void(const Failure& failure)> on_failed;
    };

    /// @param io  must outlive this.
    /// @param version  the version of the list that is known at the start.
    /// @param auto_retry  retries failed calls automatically; else the owner calls watch() again.
    /// @param drain_grace  the time (rules.stop-sending-within-ms) for which requests may still be sent to a
    ///        server after its draining was notified.
    Discovery(boost::asio::io_context& io, const net::Tcp::endpoint& address, std::uint64_t version,
              bool auto_retry, Millis drain_grace, Callbacks callbacks);
    ~Discovery();

    /// Starts or ends the watch. A call in flight continues if the watch is active already.
    void watch(bool active);
    /// Changes the address of discovery. An active watch starts again there.
    void change_address(const net::Tcp::endpoint& address);

    /// The state of the held list, for operators.
    struct State {
        std::uint64_t version = 0;
        /// Calls made so far.
        std::uint64_t calls = 0;
        /// The time since discovery's last valid response. Absent: there has been none.
        std::optional<Millis> age;
        /// The time since the valid response before that one. Absent: there has been none.
        std::optional<Millis> previous_age;
        /// The last call failed or has timed out.
        bool failing = false;
    };
    State state() const;

private:
    class Call;
    /// The result of a call: the body of a response with status 200, or the reason why there is none.
    struct Result {
        std::optional<std::string> body;
        std::string error;
        ListFailure failure = ListFailure::broken;
        std::optional<Millis> retry_after;
    };
    using Steady = std::chrono::steady_clock;

    void start_call();
    void on_late(const Call& call);
    void set_notified_by(Steady::time_point at);
    void on_finished(const Call& call, const Result& result);
    void on_failed(const std::string& error, ListFailure kind, std::optional<Millis> retry_after = {});
    static void close(std::shared_ptr<Call>& call);

    boost::asio::io_context& io_;
    net::Tcp::endpoint address_;
    std::uint64_t version_;
    bool auto_retry_;
    /// The longest pause before an automatic retry.
    Millis max_backoff_;
    Callbacks callbacks_;
    /// Expires when the next automatic retry is due.
    boost::asio::steady_timer timer_;
    std::shared_ptr<Call> call_;
    /// A call whose response is late: discovery may be slow, or the connection may be broken. It stays in
    /// flight until this call or `call_` is answered.
    std::shared_ptr<Call> late_call_;
    std::uint64_t call_count_ = 0;
    /// When discovery last sent a valid response.
    std::optional<Steady::time_point> answered_at_;
    /// When discovery sent the valid response before the last one.
    std::optional<Steady::time_point> previously_answered_at_;
    /// When the changes that the held list may lack count as notified. Absent: no call has failed since the
    /// last valid response.
    std::optional<Steady::time_point> notified_at_;
    Millis backoff_;
    bool active_ = false;
    bool failing_ = false;
    /// The next call has to ask for the full list.
    bool needs_full_list_ = false;
};

}  // namespace mothring::node
