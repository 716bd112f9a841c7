// Where operators call: one HTTP call to a connection, answered at once whatever the traffic does.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "config/config.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

class OperatorListener {
public:
    // Callers at one time, out of the sidecar's own reserve of descriptors.
    static constexpr std::size_t kCallers = 8;

    struct Callbacks {
        std::function<bool()> ready;
        std::function<std::string()> metrics;  // as JSON
    };

    // Listens at once; throws boost::system::system_error where it can't.
    OperatorListener(boost::asio::io_context& io, const net::Tcp::endpoint& listen, Callbacks callbacks);
    ~OperatorListener();

    net::Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    std::size_t callers() const { return calls_.size(); }

private:
    class Call;
    using CallPtr = std::shared_ptr<Call>;

    void accept();
    void accept_waiting();
    void accepted(net::Tcp::socket socket);
    void accept_after_pause();
    void make_room();

    boost::asio::io_context& io_;
    net::Tcp::acceptor acceptor_;
    Callbacks callbacks_;
    boost::asio::steady_timer timer_;  // of the next try to accept
    net::FailurePace accept_pace_;
    std::list<CallPtr> calls_;  // the longest here first
};

}  // namespace mothring::node
