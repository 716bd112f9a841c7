// Short messages between the sidecars of a tier, over UDP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "config/config.hpp"
#include "net/log.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

class Peers {
public:
    static constexpr std::size_t kLongest = 256;
    using Received = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;

    // Throws boost::system::system_error where it can't listen.
    Peers(boost::asio::io_context& io, const net::Udp::endpoint& listen,
          std::vector<net::Udp::endpoint> peers, std::optional<net::Udp::endpoint> all, Received received);

    // To one of them, or to all. What is too long, or is for nobody, is not sent.
    void tell(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes);
    net::Udp::endpoint address() const { return socket_.local_endpoint(); }

private:
    void receive();
    void take(std::size_t size);
    void hand_on(std::size_t size);
    void receive_after(boost::system::error_code failed);
    void receive_after_pause();

    net::Udp::socket socket_;
    boost::asio::steady_timer again_;  // after a pause
    net::FailurePace pace_;
    std::vector<net::Udp::endpoint> peers_;
    std::optional<net::Udp::endpoint> all_;
    Received received_;
    net::Udp::endpoint sender_;
    net::LogLimit stray_{std::chrono::seconds(1)};     // a flood of strays writes a line a second
    std::array<std::uint8_t, kLongest + 1> buffer_{};  // one more than a message may have
};

}  // namespace mothring::node
