/// @file
/// Tests of clients that leave.
#include "stream_rig.hpp"

namespace mothring::node::test {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

struct DepartedClient : Stream {
    /// Writes as much as the sockets take.
    /// @return whether everything was written.
    bool write_until_stuck(
        RawPeer& client, const std::function<void()>& also = [] {}) {
        constexpr milliseconds kStuckTime{1500};  // longer than the kernel waits to probe a full peer
        std::size_t before = client.sent;
        auto progress_at = Steady::now();
        until([&] {
            also();
            client.write();
            if (client.sent != before) progress_at = Steady::now();
            before = client.sent;
            return client.out.empty() || Steady::now() - progress_at > kStuckTime;
        });
        return client.out.empty();
    }
};

// Guards against an upload that is sent on after its client has left: unread bytes behind it hide the end of
// the client's stream.
TEST_F(DepartedClient, UploadIsNotCompletedBehindUnreadBytes) {
    constexpr std::size_t kMegabyte = 1 << 20;
    const std::string last_chunk = "0\r\n\r\n";
    start_raw();
    std::list<RawPeer> peers;
    RawPeer& client = peers.emplace_back(io, sidecar->address());
    client.out =
        replace_first(request("deposit", "id-1", 20000), "Content-Length: 0", "Transfer-Encoding: chunked");
    client.out += "1000000\r\n" + std::string(16 * kMegabyte, 'a');  // more than the sockets hold
    ASSERT_FALSE(write_until_stuck(client)) << "the server reads nothing";
    ASSERT_EQ(servers.size(), 1u);
    RawPeer& server = servers.front();
    // The server reads until the client has written its upload and much after it.
    client.out += "\r\n" + last_chunk + std::string(kMegabyte, 'x');
    const auto read_some = [&] {
        server.read(65536);
        server.in.clear();
    };
    ASSERT_TRUE(write_until_stuck(client, read_some));
    const auto late = Steady::now() + milliseconds(150);
    until([&] { return Steady::now() > late; });
    error_code ignored;
    client.socket.close(ignored);
    std::string in;
    until([&] {
        server.read();
        in += std::exchange(server.in, {});
        if (in.size() > kMegabyte) in.erase(0, in.size() - last_chunk.size());
        return server.ended || in.ends_with(last_chunk);
    });
    EXPECT_TRUE(server.ended);
    EXPECT_FALSE(in.ends_with(last_chunk));
    until([&] { return sidecar->request_count() == 0 && sidecar->metrics().in_flight == 0; });
}

// Guards against an attempt that was given up and still reaches its server whole from the kernel's buffer.
TEST_F(DepartedClient, GivenUpUploadIsNotSentOn) {
    constexpr std::size_t kLength = 1 << 20;
    start_raw();
    std::list<RawPeer> peers;
    RawPeer& client = peers.emplace_back(io, sidecar->address());
    client.out = request("deposit", "id-1", 20000, std::string(kLength, 'a'));
    raw.set_option(asio::socket_base::receive_buffer_size(16384));
    ASSERT_TRUE(write_until_stuck(client));
    until([&] { return sidecar->metrics().attempts == 1; });  // all bytes are in the kernel's buffers
    peers.clear();
    until([&] { return sidecar->request_count() == 0; });
    ASSERT_EQ(servers.size(), 1u);
    RawPeer& server = servers.front();
    until([&] { return server.read(), server.ended; });
    EXPECT_LT(body_of(server.in).size(), kLength);
}

}  // namespace
}  // namespace mothring::node::test
