/// @file
/// Reads datagrams from the member's UDP socket as they come.
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

/// Reads until close(). Reads no more than a bounded number of datagrams at a time, and pauses where the
/// machine can't receive.
class DatagramReceiver {
public:
    /// Whom it reports to.
    struct Hooks {
        std::function<void(std::span<const std::uint8_t>, const Udp::endpoint& sender)> received;
        /// After the datagrams that were there.
        std::function<void()> drained;
    };
    /// Keeps the receiver alive, and whatever it refers to, while it waits.
    using Self = std::shared_ptr<DatagramReceiver>;

    /// @param socket  bound and non-blocking by start(); must outlive this.
    DatagramReceiver(boost::asio::io_context& io, Udp::socket& socket, Hooks hooks);

    static void start(Self self) { receive(std::move(self)); }
    /// Reads what is there now.
    /// @return whether more can be received as soon as it comes; else after a pause.
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
    /// A byte more than the longest, so that one that is too long is recognised.
    std::array<std::uint8_t, Codec::kLongestDatagram + 1> buffer_{};
    bool closed_ = false;
};

}  // namespace mothring::cluster
