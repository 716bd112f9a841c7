/// @file
/// Tests of long responses during a graceful shutdown: none may be under way when the process may be killed,
/// unless its request had arrived before.
#include "stream_rig.hpp"

namespace mothring::node::test {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

/// Requests that arrive later than this after the start of a shutdown need their complete response.
constexpr milliseconds kExcusedTime{700};
/// Time for closing a connection after its last response.
constexpr milliseconds kCloseTime{300};
constexpr std::size_t kLength = 100000;

struct DrainResponse : Stream {
    std::list<RawPeer> peers;
    Steady::time_point drain_began;

    RawPeer& send(const std::string& bytes) {
        RawPeer& client = peers.emplace_back(io, sidecar->address());
        client.out = bytes;
        return client;
    }
    void drain() {
        drain_began = Steady::now();
        sidecar->drain([] {});
    }
    void exchange_until_excuse_ends() {
        exchange_until(peers, [&] { return Steady::now() > drain_began + kExcusedTime + milliseconds(50); });
    }
    static std::string head_of_long_response() {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLength) + "\r\n\r\n";
    }
};

// Guards against a connection that stays open after a response that began before the shutdown: requests that
// follow on it may not end before the process is killed.
TEST_F(DrainResponse, ConnectionIsClosedAfterResponseThatBeganBefore) {
    start_raw();
    RawPeer& client = send(request("listen", "id-1"));
    exchange_until(peers, [&] { return !servers.empty() && !servers.front().in.empty(); });
    servers.front().out = head_of_long_response() + "first";
    exchange_until(peers, [&] { return body_of(client.in) == "first"; });
    drain();
    exchange_until_excuse_ends();
    EXPECT_FALSE(client.ended);
    servers.front().out = std::string(kLength - 5, 'b');
    exchange_until(peers, [&] { return body_of(client.in).size() == kLength; });
    const auto complete_at = Steady::now();
    exchange_until(peers, [&] { return client.ended; });
    EXPECT_LT(Steady::now() - complete_at, kCloseTime);
    EXPECT_EQ(client.error, asio::error::eof);
    EXPECT_EQ(count_requests("served"), 1);
}

// Guards against a request that is completed late in a shutdown and gets a response that the end of the
// process cuts off. A short response is still given.
TEST_F(DrainResponse, LateRequestGetsNoLongResponse) {
    start_raw();
    const std::string upload = request("annotate", "id-1", 5000, std::string(100, 'a'));
    const std::string other_upload = request("annotate", "id-2", 5000, std::string(100, 'a'));
    RawPeer& client = send(upload.substr(0, upload.size() - 1));
    RawPeer& other = send(other_upload.substr(0, other_upload.size() - 1));
    exchange_until(peers, [&] { return client.out.empty() && other.out.empty(); });
    send_and_wait("GET /_health HTTP/1.1\r\n\r\n");
    drain();
    exchange_until_excuse_ends();
    client.out = "a";
    exchange_until(peers, [&] { return !servers.empty() && servers.back().in.size() > 100; });
    servers.back().out = head_of_long_response() + "first";
    exchange_until(peers, [&] { return client.ended; });
    EXPECT_NE(client.in.find(" 502 "), std::string::npos) << client.in.substr(0, 200);
    other.out = "a";
    exchange_until(peers, [&] { return servers.size() > 1 && servers.back().in.size() > 100; });
    servers.back().out = response("200 OK", "short");
    exchange_until(peers, [&] { return other.ended; });
    EXPECT_EQ(body_of(other.in), "short");
    until([&] { return sidecar->request_count() == 0 && sidecar->metrics().in_flight == 0; });
}

}  // namespace
}  // namespace mothring::node::test
