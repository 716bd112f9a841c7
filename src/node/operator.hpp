/// @file
/// The HTTP address of the operators: readiness and metrics.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/address.hpp"
#include "net/retry_pacer.hpp"

namespace mothring::node {

/// Answers one HTTP request on each connection, at once, whatever the clients' traffic does.
class OperatorListener {
public:
    /// Connections at one time, out of the sidecar's own reserve of descriptors.
    static constexpr std::size_t kCallers = 8;

    /// Where the answers come from.
    struct Callbacks {
        /// Whether the sidecar takes requests.
        std::function<bool()> ready;
        /// The metrics, as JSON.
        std::function<std::string()> metrics;
    };

    /// Listens at once.
    /// @throws boost::system::system_error where it can't listen.
    OperatorListener(boost::asio::io_context& io, const net::Tcp::endpoint& listen, Callbacks callbacks);
    ~OperatorListener();
    OperatorListener(const OperatorListener&) = delete;
    OperatorListener& operator=(const OperatorListener&) = delete;

    net::Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    /// How many connections there are.
    std::size_t callers() const { return calls_.size(); }

private:
    class Call;
    using CallPtr = std::shared_ptr<Call>;

    void accept();
    void accept_waiting();
    void on_accepted(net::Tcp::socket socket);
    void accept_after_pause();
    void make_room();

    boost::asio::io_context& io_;
    net::Tcp::acceptor acceptor_;
    Callbacks callbacks_;
    net::RetryPacer accept_pacer_;
    std::list<CallPtr> calls_;  // the oldest first
};

}  // namespace mothring::node
