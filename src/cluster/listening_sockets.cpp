#include "cluster/listening_sockets.hpp"

#include <boost/asio/socket_base.hpp>
#include <boost/system/system_error.hpp>

namespace mothring::cluster {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Number of attempts to find a port that is free for both UDP and TCP.
constexpr int kPortAttempts = 32;

}  // namespace

void ListeningSockets::listen(const Udp::endpoint& bind) {
    for (int attempt = 1;; ++attempt) {
        listen_for_connections(bind);
        const error_code failed = bind_udp(bind);
        if (!failed) break;
        acceptor.close();
        udp.close();
        const bool may_be_free_elsewhere = bind.port() == 0 && attempt < kPortAttempts;
        if (!may_be_free_elsewhere) throw boost::system::system_error(failed);
    }
    udp.non_blocking(true);
    // Without this option Asio does not report an aborted connection, but waits for the next one.
    acceptor.set_option(asio::socket_base::enable_connection_aborted(true));
}

void ListeningSockets::listen_for_connections(const Udp::endpoint& bind) {
    const Tcp::endpoint address(bind.address(), bind.port());
    acceptor.open(address.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen();
}

error_code ListeningSockets::bind_udp(const Udp::endpoint& bind) {
    const Udp::endpoint address(bind.address(), acceptor.local_endpoint().port());
    udp.open(address.protocol());
    error_code failed;
    udp.bind(address, failed);
    return failed;
}

}  // namespace mothring::cluster
