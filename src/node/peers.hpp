/// @file
/// The exchange of short messages between the sidecars of a tier over UDP.
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

/// Sends messages to the other sidecars and receives theirs. Messages may be lost.
class Peers {
public:
    /// The maximum size of a message in bytes.
    static constexpr std::size_t kMaxMessageSize = 256;
    /// Reports a message.
    /// @param from  index of the sender among the peers.
    using OnMessage = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;

    /// @param peers  addresses of the other sidecars; messages from other addresses are dropped.
    /// @param all  address that reaches all the other sidecars. Absent: there is none.
    /// @throws boost::system::system_error if it cannot listen on the address.
    Peers(boost::asio::io_context& io, const net::Udp::endpoint& listen,
          std::vector<net::Udp::endpoint> peers, std::optional<net::Udp::endpoint> all, OnMessage on_message);

    /// Sends a message. A message that is too long or has no recipient is logged and not sent.
    /// @param recipient  index of the recipient among the peers. Absent: all of them.
    void send(std::optional<std::uint32_t> recipient, const std::vector<std::uint8_t>& bytes);
    net::Udp::endpoint address() const { return socket_.local_endpoint(); }

private:
    const net::Udp::endpoint* address_of(std::optional<std::uint32_t> recipient) const;
    void receive();
    void on_datagram(std::size_t size);
    void dispatch(std::size_t size);
    void receive_after(boost::system::error_code failed);
    void receive_after_pause();

    net::Udp::socket socket_;
    net::RetryPacer receive_pacer_;
    std::vector<net::Udp::endpoint> peers_;
    std::optional<net::Udp::endpoint> all_;
    OnMessage on_message_;
    /// Sender of the last datagram.
    net::Udp::endpoint sender_;
    /// Logs at most one line per second about stray datagrams, however many arrive.
    net::RateLimitedLog stray_log_{std::chrono::seconds(1)};
    /// One byte larger than the largest message, so that larger ones are detected.
    std::array<std::uint8_t, kMaxMessageSize + 1> buffer_{};
};

}  // namespace mothring::node
