#include "node/peers.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>

#include "net/clock.hpp"
#include "net/log.hpp"

namespace mothring::node {

using boost::system::error_code;

namespace {

constexpr Millis kReceiveAgain = 20;  // when nothing can be received

}  // namespace

Peers::Peers(boost::asio::io_context& io, const net::Udp::endpoint& listen,
             std::vector<net::Udp::endpoint> peers, std::optional<net::Udp::endpoint> all, Received received)
    : socket_(io, listen),
      again_(io),
      peers_(std::move(peers)),
      all_(std::move(all)),
      received_(std::move(received)) {
    socket_.non_blocking(true);
    receive();
}

void Peers::tell(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
    if (bytes.size() > kLongest || (to ? *to >= peers_.size() : !all_))
        return net::log(spdlog::level::warn, "peer.not_sent", {{"bytes", bytes.size()}});
    error_code lost;  // as any datagram may be
    socket_.send_to(boost::asio::buffer(bytes), to ? peers_[*to] : *all_, 0, lost);
}

void Peers::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                               [this](error_code failed, std::size_t size) {
                                   if (failed == boost::asio::error::operation_aborted) return;
                                   if (failed) return receive_after(failed);
                                   pace_.succeeded();
                                   take(size);
                               });
}

// The next one is received whatever this one leads to.
void Peers::take(std::size_t size) {
    try {
        hand_on(size);
        receive();
    } catch (...) {  // no memory, say
        receive_after_pause();
        throw;
    }
}

void Peers::hand_on(std::size_t size) {
    const auto from = std::find(peers_.begin(), peers_.end(), sender_);
    if (size > kLongest || from == peers_.end())
        return stray_.log(spdlog::level::warn, "peer.stray_datagram",
                          {{"bytes", size}, {"from", sender_.address().to_string()}});
    received_(static_cast<std::uint32_t>(from - peers_.begin()), {buffer_.begin(), buffer_.begin() + size});
}

void Peers::receive_after(error_code failed) {
    pace_.pauses_after(failed) ? receive_after_pause() : receive();
}

void Peers::receive_after_pause() {
    again_.expires_after(net::span(kReceiveAgain));
    again_.async_wait([this](error_code cancelled) {
        if (!cancelled) receive();
    });
}

}  // namespace mothring::node
