#include "cluster/datagram_receiver.hpp"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "net/clock.hpp"

namespace mothring::cluster {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kMaxDatagramsPerRead = 256;  // datagrams read before due actions are run
constexpr Millis kReceivePause = 20;       // after a receive error that requires a pause

}  // namespace

DatagramReceiver::DatagramReceiver(asio::io_context& io, Udp::socket& socket, Hooks hooks)
    : socket_(socket), hooks_(std::move(hooks)), pause_(io) {}

void DatagramReceiver::receive(Self self) {
    Udp::socket& socket = self->socket_;
    socket.async_wait(Udp::socket::wait_read, [self = std::move(self)](error_code failed) {
        if (failed || self->closed_) return;
        const bool can_receive = self->drain();
        self->hooks_.drained();
        if (can_receive) {
            receive(self);
        } else {
            receive_later(self);
        }
    });
}

void DatagramReceiver::receive_later(Self self) {
    asio::steady_timer& pause = self->pause_;
    pause.expires_after(net::to_duration(kReceivePause));
    pause.async_wait([self = std::move(self)](error_code cancelled) {
        if (!cancelled && !self->closed_) receive(self);
    });
}

bool DatagramReceiver::drain() {
    for (int i = 0; i < kMaxDatagramsPerRead; ++i) {
        Udp::endpoint sender;
        error_code failed;
        const std::size_t size = socket_.receive_from(asio::buffer(buffer_), sender, 0, failed);
        if (failed == asio::error::would_block || failed == asio::error::try_again) return true;
        if (failed && pace_.must_pause_after(failed)) return false;
        if (failed) continue;
        pace_.on_success();
        hooks_.received({buffer_.data(), size}, sender);
    }
    return true;
}

void DatagramReceiver::close() {
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    pause_.cancel();
}

}  // namespace mothring::cluster
