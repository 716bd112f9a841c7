/// @file
/// The sockets of a member: UDP for messages and TCP for state exchanges, at one address and port.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "cluster/settings.hpp"

namespace mothring::cluster {

/// Holds both sockets of a member, which are closed until listen().
struct ListeningSockets {
    explicit ListeningSockets(boost::asio::io_context& io) : udp(io), acceptor(io) {}

    /// Binds both sockets and listens.
    /// @param bind  address to bind; port 0 selects a port that is free for both UDP and TCP.
    /// @throws boost::system::system_error if the address can't be bound.
    void listen(const Udp::endpoint& bind);

    Udp::socket udp;
    Tcp::acceptor acceptor;

private:
    void listen_for_connections(const Udp::endpoint& bind);
    boost::system::error_code bind_udp(const Udp::endpoint& bind);
};

}  // namespace mothring::cluster
