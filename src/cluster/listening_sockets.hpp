/// @file
/// The sockets of a member: UDP for messages, TCP for state exchanges, at one address and port.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "cluster/settings.hpp"

namespace mothring::cluster {

/// Both sockets of a member; closed until listen().
struct ListeningSockets {
    explicit ListeningSockets(boost::asio::io_context& io) : udp(io), acceptor(io) {}

    /// Binds both sockets and listens.
    /// @param bind  port 0: a port of the system's choice that is free for both.
    /// @throws boost::system::system_error where an address can't be bound.
    void listen(const Udp::endpoint& bind);

    Udp::socket udp;
    Tcp::acceptor acceptor;

private:
    void listen_for_connections(const Udp::endpoint& bind);
    boost::system::error_code bind_udp(const Udp::endpoint& bind);
};

}  // namespace mothring::cluster
