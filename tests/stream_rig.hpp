/// @file
/// Peers whose reads and writes the test controls byte by byte, for the tests of bodies that are streamed.
#pragma once

#include <algorithm>
#include <list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net_rig.hpp"

namespace mothring::node::test {

/// Returns a body of this size in which a part that is missing or misplaced is noticed.
inline std::string pattern(std::size_t size) {
    std::string text(size, '\0');
    for (std::size_t i = 0; i < size; ++i) text[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
    return text;
}

/// A peer whose reads and writes the test controls, in the io_context of the sidecar under test.
struct RawPeer {
    explicit RawPeer(net::Tcp::socket connected) : socket(std::move(connected)) { socket.non_blocking(true); }
    RawPeer(asio::io_context& io, const net::Tcp::endpoint& address) : socket(io) {
        socket.connect(address);
        socket.non_blocking(true);
    }
    // Writes as much of `out` as the socket accepts now.
    void write() {
        error_code error;
        while (sent < out.size() && !error) sent += socket.write_some(asio::buffer(out) + sent, error);
        if (sent == out.size()) out.clear(), sent = 0;
    }
    void read(std::size_t most = 1 << 20) {
        error_code error;
        std::vector<char> piece(std::min<std::size_t>(most, 65536));
        while (most > 0 && !error) {
            const std::size_t count =
                socket.read_some(asio::buffer(piece.data(), std::min(most, piece.size())), error);
            in.append(piece.data(), count);
            most -= count;
        }
        if (error && error != asio::error::would_block && !std::exchange(ended, true)) this->error = error;
    }
    void turn() { write(), read(); }
    net::Tcp::socket socket;
    std::string in, out;
    std::size_t sent = 0;  // of `out`
    bool ended = false;
    error_code error;  // that ended the connection
};

/// A sidecar with one server, which the test plays.
struct Stream : NetRig {
    // Replaces server a; the test plays the server on each connection accepted here.
    net::Tcp::acceptor raw{io, any_port};
    std::list<RawPeer> servers;
    std::string raw_address() const { return "127.0.0.1:" + std::to_string(raw.local_endpoint().port()); }
    void accept() {
        raw.async_accept([this](error_code failed, net::Tcp::socket socket) {
            if (failed) return;
            servers.emplace_back(std::move(socket));
            accept();
        });
    }
    void start_raw(const std::string& memory = "192") {
        accept();
        config::Config config = config::read_config(
            config_json(agent.address(), list_json(41, true, {{"s-raw", raw_address()}})));
        config.memory_mb = std::stoul(memory);
        config.operators = any_port;
        sidecar.emplace(io, std::move(config));
    }
    void pass() { io.restart(), io.run_one_for(std::chrono::milliseconds(2)); }
    // Runs until the condition holds, with all clients and servers reading and writing.
    void exchange_until(std::list<RawPeer>& peers, const std::function<bool()>& reached) {
        until([&] {
            for (RawPeer& p : peers) p.turn();
            for (RawPeer& p : servers) p.turn();
            return reached();
        });
    }
    std::string_view body_of(std::string_view bytes) const {
        const auto head = bytes.find("\r\n\r\n");
        return head == std::string_view::npos ? "" : bytes.substr(head + 4);
    }
    int count_requests(const std::string& outcome) const {
        std::uint64_t all = 0;
        for (const auto& c : sidecar->metrics().classes)
            all += outcome == "served" ? c.served : outcome == "refused" ? c.rejected : c.failed;
        return static_cast<int>(all);
    }
};

}  // namespace mothring::node::test
