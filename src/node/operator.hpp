/// @file
/// The HTTP listener for operators, which serves readiness and metrics.
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

/// Answers one HTTP request per connection. It has its own connections, so operators get a response also
/// while clients use up theirs.
class OperatorListener {
public:
    /// The limit of open connections. They use the sockets that are reserved for the sidecar itself.
    static constexpr std::size_t kMaxConnections = 8;

    /// Provide the contents of the responses.
    struct Callbacks {
        /// Returns whether the sidecar is ready for requests.
        std::function<bool()> ready;
        /// Returns the metrics as JSON.
        std::function<std::string()> metrics;
    };

    /// Starts to listen.
    /// @throws boost::system::system_error if it cannot listen on the address.
    OperatorListener(boost::asio::io_context& io, const net::Tcp::endpoint& listen, Callbacks callbacks);
    ~OperatorListener();
    OperatorListener(const OperatorListener&) = delete;
    OperatorListener& operator=(const OperatorListener&) = delete;

    net::Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    std::size_t connection_count() const { return connections_.size(); }

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    void accept_waiting();
    void on_accepted(net::Tcp::socket socket);
    void accept_after_pause();
    void close_surplus_connection();

    boost::asio::io_context& io_;
    net::Tcp::acceptor acceptor_;
    Callbacks callbacks_;
    net::RetryPacer accept_pacer_;
    /// Open connections, the oldest first.
    std::list<ConnectionPtr> connections_;
};

}  // namespace mothring::node
