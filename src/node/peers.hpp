/// @file
/// Short messages between the sidecars of a tier, over UDP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "net/address.hpp"
#include "net/log.hpp"
#include "net/retry_pacer.hpp"

namespace mothring::node {

/// Sends messages to the other sidecars, and receives theirs. A message may be lost.
class Peers {
public:
    /// The longest message, in bytes.
    static constexpr std::size_t kLongest = 256;
    /// @param from  index of the sender among the peers.
    using Received = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;

    /// @param peers  addresses of the other sidecars; messages from elsewhere are dropped.
    /// @param all  address that reaches all of them; absent: there is none.
    /// @throws boost::system::system_error where it can't listen.
    Peers(boost::asio::io_context& io, const net::Udp::endpoint& listen,
          std::vector<net::Udp::endpoint> peers, std::optional<net::Udp::endpoint> all, Received received);

    /// Sends a message. One that is too long, or has no receiver, is logged and not sent.
    /// @param recipient  index of the receiver among the peers; absent: all of them.
    void send(std::optional<std::uint32_t> recipient, const std::vector<std::uint8_t>& bytes);
    net::Udp::endpoint address() const { return socket_.local_endpoint(); }

private:
    const net::Udp::endpoint* receiver(std::optional<std::uint32_t> recipient) const;
    void receive();
    void on_datagram(std::size_t size);
    void dispatch(std::size_t size);
    void receive_after(boost::system::error_code failed);
    void receive_after_pause();

    net::Udp::socket socket_;
    net::RetryPacer receive_pacer_;
    std::vector<net::Udp::endpoint> peers_;
    std::optional<net::Udp::endpoint> all_;
    Received received_;
    net::Udp::endpoint sender_;                               // of the last datagram
    net::RateLimitedLog stray_log_{std::chrono::seconds(1)};  // a flood of strays writes a line a second
    std::array<std::uint8_t, kLongest + 1> buffer_{};         // longer messages are told by the byte beyond
};

}  // namespace mothring::node
