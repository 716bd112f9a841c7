#include "node/peers.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

namespace mothring::node {

using boost::system::error_code;

namespace {

constexpr Millis kReceivePause = 20;

}  // namespace

Peers::Peers(boost::asio::io_context& io, const net::Udp::endpoint& listen,
             std::vector<net::Udp::endpoint> peers, std::optional<net::Udp::endpoint> all,
             OnMessage on_message)
    : socket_(io, listen),
      receive_pacer_(io, kReceivePause),
      peers_(std::move(peers)),
      all_(std::move(all)),
      on_message_(std::move(on_message)) {
    socket_.non_blocking(true);
    receive();
}

void Peers::send(std::optional<std::uint32_t> recipient, const std::vector<std::uint8_t>& bytes) {
    const net::Udp::endpoint* const address = address_of(recipient);
    if (bytes.size() > kMaxMessageSize || !address)
        return net::log(spdlog::level::warn, "peer.not_sent", {{"bytes", bytes.size()}});
    error_code ignored;  // a datagram may be lost anyway
    socket_.send_to(boost::asio::buffer(bytes), *address, 0, ignored);
}

/// Returns null if there is no such recipient.
const net::Udp::endpoint* Peers::address_of(std::optional<std::uint32_t> recipient) const {
    if (!recipient) return all_ ? &*all_ : nullptr;
    return *recipient < peers_.size() ? &peers_[*recipient] : nullptr;
}

void Peers::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                               [this](error_code failed, std::size_t size) {
                                   if (failed == boost::asio::error::operation_aborted) return;
                                   if (failed) return receive_after(failed);
                                   receive_pacer_.on_success();
                                   on_datagram(size);
                               });
}

/// Receives the next datagram also if handling this one fails.
void Peers::on_datagram(std::size_t size) {
    try {
        dispatch(size);
        receive();
    } catch (...) {  // such as std::bad_alloc
        receive_after_pause();
        throw;
    }
}

/// Reports the datagram in the buffer if it is a message from a peer.
void Peers::dispatch(std::size_t size) {
    const auto from = std::find(peers_.begin(), peers_.end(), sender_);
    if (size > kMaxMessageSize || from == peers_.end()) {
        return stray_log_.log(spdlog::level::warn, "peer.stray_datagram",
                              {{"bytes", size}, {"from", sender_.address().to_string()}});
    }
    const auto peer = static_cast<std::uint32_t>(from - peers_.begin());
    on_message_(peer, {buffer_.begin(), buffer_.begin() + size});
}

void Peers::receive_after(error_code failed) {
    if (receive_pacer_.must_pause_after(failed))
        receive_after_pause();
    else
        receive();
}

void Peers::receive_after_pause() {
    receive_pacer_.pause([this] { receive(); });
}

}  // namespace mothring::node
