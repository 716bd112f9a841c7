/// @file
/// A server whose connections are established late, at a time that the test chooses.
#pragma once

#include <algorithm>
#include <array>
#include <list>
#include <string>
#include <vector>

#include "net_rig.hpp"

namespace mothring::node::test {

/// A server whose connections are not established before release(). Its accept queue is full, so the kernel
/// drops connection requests, and the clients' kernel sends them again.
class HeldServer {
public:
    explicit HeldServer(asio::io_context& io) : acceptor_(io, net::Tcp::v4()) {
        acceptor_.bind(any_port);
        acceptor_.listen(0);
        acceptor_.non_blocking(true);
        for (int i = 0; i < 4; ++i) {  // one more than the queue holds, and some that stay pending
            filling_.emplace_back(io, net::Tcp::v4());
            filling_.back().async_connect(acceptor_.local_endpoint(), [](error_code) {});
        }
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    /// Empties the accept queue; from now on the server accepts connections and answers the requests on them.
    void release() {
        for (net::Tcp::socket& s : filling_) ports_.push_back(port_of(s));
        accept();
    }
    /// The bytes received on connections other than those that filled the queue.
    std::string received;
    std::size_t accepted = 0, ended = 0;

private:
    static std::uint16_t port_of(const net::Tcp::socket& socket) {
        error_code none;
        return socket.local_endpoint(none).port();
    }
    void accept() {
        acceptor_.async_accept([this](error_code failed, net::Tcp::socket socket) {
            if (failed) return;
            error_code gone;
            const auto from = socket.remote_endpoint(gone).port();
            if (std::find(ports_.begin(), ports_.end(), from) == ports_.end()) {
                ++accepted;
                taken_.emplace_back(std::move(socket));
                read(taken_.back());
            }
            accept();
        });
    }
    void read(net::Tcp::socket& socket) {
        socket.async_read_some(asio::buffer(piece_), [this, &socket](error_code failed, std::size_t count) {
            if (failed == asio::error::operation_aborted) return;
            if (failed) return void(++ended);
            received.append(piece_.data(), count);
            error_code ignored;
            asio::write(socket, asio::buffer(response("200 OK", "held")), ignored);
            read(socket);
        });
    }
    net::Tcp::acceptor acceptor_;
    std::list<net::Tcp::socket> filling_, taken_;
    std::vector<std::uint16_t> ports_;
    std::array<char, 4096> piece_{};
};

}  // namespace mothring::node::test
