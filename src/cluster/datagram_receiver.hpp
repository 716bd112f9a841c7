/// @file
/// Receives datagrams from the member's UDP socket.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "cluster/codec.hpp"
#include "cluster/settings.hpp"
#include "net/socket_errors.hpp"

namespace mothring::cluster {

/// Receives datagrams until close(). The number of datagrams read at a time is bounded, and reading pauses
/// after an error such as exhausted memory of the machine.
class DatagramReceiver {
public:
    /// Functions called on events.
    struct Hooks {
        std::function<void(std::span<const std::uint8_t>, const Udp::endpoint& sender)> received;
        /// Called after the available datagrams have been read.
        std::function<void()> drained;
    };
    /// Keeps the receiver and the objects that it refers to alive while an operation is pending.
    using Self = std::shared_ptr<DatagramReceiver>;

    /// @param socket  must be bound and non-blocking when start() is called, and must outlive the receiver.
    DatagramReceiver(boost::asio::io_context& io, Udp::socket& socket, Hooks hooks);

    static void start(Self self) { receive(std::move(self)); }
    /// Reads the datagrams that are available now.
    /// @return whether receiving can continue immediately; otherwise it must pause first.
    bool drain();
    /// Closes the socket.
    void close();

private:
    static void receive(Self self);
    static void receive_later(Self self);

    Udp::socket& socket_;
    Hooks hooks_;
    boost::asio::steady_timer pause_;
    net::FailurePace pace_;
    /// One byte more than the maximum, so that a datagram that is too long is recognised.
    std::array<std::uint8_t, Codec::kMaxDatagramBytes + 1> buffer_{};
    bool closed_ = false;
};

}  // namespace mothring::cluster
