// The server list: one watch after another at discovery, over a kept-alive connection.
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

class Discovery {
public:
    // A call that has failed.
    struct Failure {
        ListFailure kind = ListFailure::broken;
        // The time (ms) after which what the list held may have missed counts as told, below 0 once it does.
        Millis notified_within = 0;
        std::optional<Millis> retry_after;  // what discovery asks for, if anything
    };
    struct Callbacks {
        std::function<void(const config::DiscoveryList& changes)>
            changed;  // also without entries: the first answer after a failure
        // Only where the watch does not go on by itself.
        std::function<void(const Failure& failure)> failed;
    };
    // `persistent`: a watch that fails is begun again by itself; else whoever wants it asks for it anew.
    // `drain_grace` (rules.stop-sending-within-ms): for so long sends may go on after a drain was told.
    Discovery(boost::asio::io_context& io, const net::Tcp::endpoint& address, std::uint64_t version,
              bool persistent, Millis drain_grace, Callbacks callbacks);
    ~Discovery();

    void watch(bool active);  // one that is out goes on
    // What is out goes on at the new address.
    void move(const net::Tcp::endpoint& address);

    // Of the list that is held, for operators.
    struct State {
        std::uint64_t version = 0, calls = 0;  // made so far
        std::optional<Millis> age;             // since discovery last answered; none: not yet
        std::optional<Millis> age_before;      // since the answer before that one; none: there was none
        bool failing = false;                  // the last call failed, or is late
    };
    State state() const;

private:
    class Call;
    // What came of a call: the body of a 200, or else why there is none.
    struct Answer {
        std::optional<std::string> body;
        std::string why;
        ListFailure failure = ListFailure::broken;
        std::optional<Millis> retry_after;
    };
    using Steady = std::chrono::steady_clock;
    void begin();
    void overdue(const Call& call);
    void told_by(Steady::time_point at);
    void finished(const Call& call, const Answer& answer);
    void failed(const std::string& why, ListFailure kind, std::optional<Millis> retry_after = {});
    static void drop(std::shared_ptr<Call>& call);

    boost::asio::io_context& io_;
    net::Tcp::endpoint address_;
    std::uint64_t version_;
    bool persistent_;
    Millis longest_backoff_;  // between tries of a persistent watch
    Callbacks callbacks_;
    boost::asio::steady_timer timer_;  // of the next try
    // `late_`: a watch that may have fallen silent, or be slow: kept until one of the two is answered.
    std::shared_ptr<Call> watch_, late_;
    std::uint64_t calls_ = 0;
    std::optional<Steady::time_point> answered_at_, answered_before_;  // the last answer, the one before
    std::optional<Steady::time_point> told_at_;  // when what the list held may have missed counts as told
    Millis backoff_;
    bool active_ = false, told_ = false, whole_ = false;
};

}  // namespace mothring::node
