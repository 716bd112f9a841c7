/// @file
/// Tests of streamed responses whose server pauses: they have no deadline, and they hold up nothing else.
#include "stream_rig.hpp"

namespace mothring::node::test {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

/// The longest partition that the platform announces, and some more.
constexpr milliseconds kPartition{6200};
/// The pause after which a response may give way to other requests.
constexpr milliseconds kStall{3000};
/// A stalled response notices within this time that its client has left.
constexpr milliseconds kNoticeTime{1000};
constexpr int kLength = 100000;

struct StalledResponse : Stream {
    std::list<RawPeer> peers;

    /// Sends a request and waits until the first bytes of its response have reached the client.
    RawPeer& begin_response(const std::string& id) {
        const std::size_t connections = servers.size();
        RawPeer& client = peers.emplace_back(io, sidecar->address());
        client.out = request("listen", id, 300);
        exchange_until(peers, [&] { return servers.size() > connections && !servers.back().in.empty(); });
        servers.back().out =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLength) + "\r\n\r\nfirst";
        exchange_until(peers, [&] { return body_of(client.in) == "first"; });
        return client;
    }
    void exchange_for(milliseconds time) {
        const auto end = Steady::now() + time;
        exchange_until(peers, [&] { return Steady::now() > end; });
    }
};

// Guards against a response that is cut off although its server gives the rest after a partition.
TEST_F(StalledResponse, IsForwardedWholeAfterPartition) {
    start_raw();
    RawPeer& client = begin_response("id-1");
    exchange_for(kPartition);
    EXPECT_FALSE(client.ended);
    servers.back().out = std::string(kLength - 5, 'b');
    exchange_until(peers, [&] { return body_of(client.in).size() == kLength; });
    exchange_until(peers, [&] { return count_requests("served") == 1; });
    EXPECT_EQ(sidecar->request_count(), 0u);
}

// Guards against stalled responses that stay after their client has left, before or after the pause has
// become long, also behind a pipelined request.
TEST_F(StalledResponse, EndsWhenClientLeaves) {
    start_raw();
    begin_response("id-1");
    RawPeer& pipelining = begin_response("id-2");
    pipelining.out = request("listen", "id-3", 300);
    RawPeer& later = begin_response("id-4");
    exchange_for(milliseconds(100));
    const auto left_at = Steady::now();
    error_code ignored;
    peers.front().socket.close(ignored);
    pipelining.socket.close(ignored);
    exchange_until(peers, [&] { return servers.front().ended && std::next(servers.begin())->ended; });
    EXPECT_LT(Steady::now() - left_at, kStall + kNoticeTime);
    EXPECT_FALSE(servers.back().ended);
    const auto later_left_at = Steady::now();
    later.socket.close(ignored);
    exchange_until(peers, [&] { return servers.back().ended; });
    EXPECT_LT(Steady::now() - later_left_at, kStall + kNoticeTime);
    until([&] { return sidecar->request_count() == 0 && sidecar->metrics().in_flight == 0; });
    EXPECT_EQ(sidecar->gauges().requests, 0u);
}

// Guards against stalled responses that hold all connections, so that no new client is answered.
TEST_F(StalledResponse, GivesWayToNewConnectionsAtTheLimit) {
    accept();
    config::Config config = config::read_config(
        config_json(agent.address(), list_json(41, true, {{"s-raw", raw_address()}}), "48"));
    constexpr int kConnections = 12;  // the limit for 48 descriptors
    sidecar.emplace(io, std::move(config));
    for (int i = 0; i < kConnections; ++i) begin_response("id-" + std::to_string(i));
    exchange_for(kStall + kNoticeTime);
    for (const RawPeer& peer : peers) EXPECT_FALSE(peer.ended);
    EXPECT_EQ(send_and_wait("GET /_health HTTP/1.1\r\n\r\n").result_int(), 200u);
    exchange_until(peers, [&] { return std::ranges::any_of(peers, &RawPeer::ended); });
    EXPECT_EQ(std::ranges::count_if(peers, &RawPeer::ended), 1);
}

}  // namespace
}  // namespace mothring::node::test
