/// @file
/// A complete sidecar between a client and a server that both record every byte they receive, for the tests
/// of recorded conversations. The tests compare the bytes with the recording of an earlier version, so that
/// any change of the bytes shows. Only values that differ from run to run are masked before the comparison.
#pragma once

#include <array>
#include <string>

#include "net/http_message.hpp"
#include "net_rig.hpp"

namespace mothring::node::test {

inline constexpr std::size_t kReadSize = 65536;  // bytes

/// Markers that a recording has after its bytes if the connection was closed or reset.
inline constexpr std::string_view kClosed = "<closed>";
inline constexpr std::string_view kReset = "<reset>";

inline std::string_view ending_of(error_code failed) { return failed == asio::error::eof ? kClosed : kReset; }

/// Returns a body of repeated alphabets that skips one letter every 251 bytes. Its pattern repeats only every
/// 3263 bytes, so that a comparison of bodies detects a lost, repeated or misplaced block of, for example,
/// 4096 bytes.
inline std::string body_of_size(std::size_t size) {
    constexpr std::size_t kAlphabet = 26;
    constexpr std::size_t kRow = 251;
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
        body[i] = static_cast<char>('a' + (i + i / kRow) % kAlphabet);
    }
    return body;
}

/// Masks the remaining time of a request in each Request-Timeout-Ms header, as it differs from run to run.
inline std::string mask_varying_values(std::string bytes) {
    const std::string header = "Request-Timeout-Ms: ";
    for (std::size_t at = bytes.find(header); at != std::string::npos; at = bytes.find(header, at)) {
        at += header.size();
        const std::size_t end = bytes.find_first_not_of("0123456789", at);
        const bool is_number = end != std::string::npos && end > at && bytes.compare(end, 2, "\r\n") == 0;
        if (is_number) bytes.replace(at, end - at, "<varies>");
    }
    return bytes;
}

/// Decodes the chunked body that begins at `at`.
/// @return empty if the chunks are not complete.
inline std::string decode_chunks(const std::string& bytes, std::size_t at) {
    constexpr int kHexadecimal = 16;
    constexpr std::size_t kLineEnd = 2;
    std::string body;
    while (true) {
        const std::size_t line_end = bytes.find("\r\n", at);
        if (line_end == std::string::npos) return "";
        const std::size_t size = std::stoul(bytes.substr(at, line_end - at), nullptr, kHexadecimal);
        at = line_end + kLineEnd;
        if (size == 0) return bytes.substr(at) == "\r\n" ? body : "";
        body += bytes.substr(at, size);
        at += size + kLineEnd;
    }
}

/// A client with one connection that records all bytes received.
class RecordingClient {
public:
    RecordingClient(asio::io_context& io, const net::Tcp::endpoint& address) : socket_(io) {
        socket_.connect(address);
        read();
    }
    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    void shut_down_sending() { socket_.shutdown(net::Tcp::socket::shutdown_send); }
    void close() { socket_.close(); }
    bool has_received(std::string_view part) const { return received.find(part) != std::string::npos; }

    std::string received;
    bool ended = false;

private:
    void read() {
        socket_.async_read_some(asio::buffer(piece_), [this](error_code failed, std::size_t size) {
            if (failed == asio::error::operation_aborted) return;
            received.append(piece_.data(), size);
            if (!failed) return read();
            received += ending_of(failed);
            ended = true;
        });
    }

    net::Tcp::socket socket_;
    std::array<char, kReadSize> piece_{};
};

/// A server that records the bytes of each request and answers complete requests with the scripted replies in
/// order. The last reply is repeated.
class RecordingServer {
public:
    explicit RecordingServer(asio::io_context& io) : acceptor_(io, any_port) { accept(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    void stop_listening() { acceptor_.close(); }
    void send(const std::string& bytes) { asio::write(connections_.back()->socket, asio::buffer(bytes)); }
    void close() { connections_.back()->socket.close(); }
    /// Returns the bytes of all requests, complete or not, in the order of their first bytes.
    std::string received() const {
        std::string all;
        for (const std::string& request : requests_) all += request;
        return mask_varying_values(all);
    }
    std::size_t complete_count() const { return complete_; }
    std::size_t ended_count() const { return ended_; }

    std::vector<Reply> replies;

private:
    using Parser = http::request_parser<http::string_body>;
    struct Connection {
        explicit Connection(net::Tcp::socket from) : socket(std::move(from)) {}
        net::Tcp::socket socket;
        std::array<char, kReadSize> piece{};
        std::string unparsed;
        std::optional<Parser> parser;
        std::size_t request = 0;  // index in requests_
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept() {
        acceptor_.async_accept([this](error_code failed, net::Tcp::socket socket) {
            if (failed) return;
            connections_.push_back(std::make_shared<Connection>(std::move(socket)));
            read(connections_.back());
            accept();
        });
    }
    void read(const ConnectionPtr& connection) {
        connection->socket.async_read_some(asio::buffer(connection->piece),
                                           [this, connection](error_code failed, std::size_t size) {
                                               if (failed == asio::error::operation_aborted) return;
                                               if (failed) {
                                                   ++ended_;
                                                   return;
                                               }
                                               connection->unparsed.append(connection->piece.data(), size);
                                               take_requests(*connection);
                                               if (connection->socket.is_open()) read(connection);
                                           });
    }
    void take_requests(Connection& connection) {
        while (!connection.unparsed.empty() && connection.socket.is_open()) {
            if (!connection.parser) {
                connection.parser.emplace();
                connection.parser->eager(true);
                connection.parser->body_limit(net::kMaxForwardedBodyBytes);
                connection.request = requests_.size();
                requests_.emplace_back();
            }
            error_code failed;
            const std::size_t used = connection.parser->put(asio::buffer(connection.unparsed), failed);
            requests_[connection.request] += connection.unparsed.substr(0, used);
            connection.unparsed.erase(0, used);
            if (connection.parser->is_done()) {
                connection.parser.reset();
                reply(connection);
            } else if (used == 0) {
                return;
            }
        }
    }
    void reply(Connection& connection) {
        ++complete_;
        if (replies.empty()) return;
        const Reply reply = replies.at(std::min(complete_, replies.size()) - 1);
        error_code ignored;
        asio::write(connection.socket, asio::buffer(reply.bytes), ignored);
        if (reply.reset) connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
        if (reply.close || reply.reset) connection.socket.close(ignored);
    }

    net::Tcp::acceptor acceptor_;
    std::vector<ConnectionPtr> connections_;
    std::vector<std::string> requests_;
    std::size_t complete_ = 0;
    std::size_t ended_ = 0;
};

inline const std::string health_check = "GET /_health HTTP/1.1\r\n\r\n";
inline const std::string healthy =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nOK";

inline const std::string get =
    "GET /listen/item?part=2 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: id-1\r\n"
    "Request-Class: listen\r\nRequest-Timeout-Ms: 5000\r\n";
inline const std::string post =
    "POST /deposit/item HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: id-1\r\n"
    "Request-Timeout-Ms: 5000\r\n";
/// Returns `post` with another request id: each request of a client has its own.
inline std::string post_with_id(int number) {
    return replace_first(post, "id-1", "id-" + std::to_string(number));
}
inline const std::string annotate =
    "POST /annotate HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: id-1\r\n"
    "Idempotency-Key: key-1\r\nRequest-Timeout-Ms: 5000\r\nContent-Length: 4\r\n\r\n"
    "note";
inline const std::string rejection = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

struct RecordedConversation : NetRig {
    RecordingServer server{io};
    std::list<RecordingClient> recording_clients;

    void start_recording(std::vector<Reply> replies) {
        server.replies = std::move(replies);
        start({{"s-a", server.address()}});
    }
    RecordingClient& connect() { return recording_clients.emplace_back(io, sidecar->address()); }
    /// Waits for all responses and returns the bytes received. On an open connection a health check is sent
    /// after the requests, whose response comes last.
    std::string finish(RecordingClient& client) {
        if (!client.ended) client.send(health_check);
        until([&] { return client.ended || client.received.ends_with(healthy); });
        return mask_varying_values(client.received);
    }
    /// Sends the bytes on a new connection and returns the bytes received.
    std::string answer_to(const std::string& bytes) {
        RecordingClient& client = connect();
        client.send(bytes);
        until([&] { return client.ended || !client.received.empty(); });
        return finish(client);
    }
    /// Sends bytes after which the sidecar closes the connection, and returns the bytes received.
    std::string answer_until_closed(const std::string& bytes) {
        RecordingClient& client = connect();
        client.send(bytes);
        until([&] { return client.ended; });
        return mask_varying_values(client.received);
    }
};

}  // namespace mothring::node::test
