/// @file
/// Tests of clients that leave, or come again with the same request.
#include <cstdlib>
#include <filesystem>

#include "node/attempt_history.hpp"
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
    ASSERT_EQ(sidecar->metrics().attempts, 0u) << "the last byte was sent before the client has left";
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

struct RepeatedRequest : NetRig {
    static constexpr unsigned kFailed = 502, kConflict = 409;

    unsigned status_of(const std::string& bytes) { return send_and_wait(bytes).result_int(); }
    /// Sends a request, waits until the server has it, and closes the connection.
    void send_and_leave(const std::string& bytes) {
        const std::size_t before = a.requests.size();
        client().send(bytes);
        until([&] { return a.requests.size() > before; });
        clients.back().close();
        until([&] { return sidecar->request_count() == 0; });
    }
};

// Guards against a request that runs twice if its client leaves and comes again with the same id.
TEST_F(RepeatedRequest, RunsOnceIfClientLeftBefore) {
    a.script = silence;
    start_with_a();
    send_and_leave(request("deposit", "id-1"));
    a.script = serve;
    EXPECT_EQ(status_of(request("deposit", "id-1")), kFailed) << "it may have run, so it is no refusal";
    EXPECT_EQ(status_of(request("deposit", "id-2")), 200u);
    EXPECT_EQ(a.requests.size(), 2u);
}

TEST_F(RepeatedRequest, RunsOnceWhileFirstIsInFlight) {
    a.script = silence;
    start_with_a();
    client().send(request("deposit", "id-1"));
    until([&] { return a.requests.size() == 1; });
    EXPECT_EQ(status_of(request("deposit", "id-1")), kConflict);
    EXPECT_EQ(a.requests.size(), 1u);
}

TEST_F(RepeatedRequest, RunsAgainIfServerDropsRepeatsOrNothingRan) {
    start_with_a();
    EXPECT_EQ(status_of(request("annotate", "id-1")), 200u);
    EXPECT_EQ(status_of(request("annotate", "id-1")), 200u)
        << "within the window, in which servers drop repeats";
    EXPECT_EQ(status_of(request("listen", "id-2")), 200u);
    EXPECT_EQ(status_of(request("listen", "id-2")), 200u) << "it may run any number of times";
    a.script = [](const auto&) { return Reply{response("503 Full", "", "Not-Started: 1\r\n")}; };
    EXPECT_EQ(status_of(request("deposit", "id-3")), 503u);
    a.script = serve;
    EXPECT_EQ(status_of(request("deposit", "id-3")), 200u) << "it has not run before";
}

// Guards against a request that runs at both processes of an upgrade.
TEST_F(RepeatedRequest, RunsOnceAtBothProcessesOfAnUpgrade) {
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("mothring-test-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    ::setenv("TMPDIR", folder.c_str(), 1);
    net::Tcp::acceptor port(io, any_port.protocol());
    port.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    port.bind(any_port);
    const std::string listen = "127.0.0.1:" + std::to_string(port.local_endpoint().port());
    const auto start_process = [&](std::optional<Sidecar>& process) {
        config::Config config = config::read_config(
            config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}}), "1024", listen));
        config.operators = any_port;
        process.emplace(io, std::move(config));
    };
    start_process(sidecar);
    EXPECT_EQ(status_of(request("deposit", "id-1")), 200u);
    std::optional<Sidecar> second;
    start_process(second);
    EXPECT_EQ(status_of(request("deposit", "id-1")), kFailed);
    EXPECT_EQ(status_of(request("deposit", "id-2")), 200u);
    EXPECT_EQ(second->metrics().attempts, 1u) << "the second process got the later requests";
    EXPECT_EQ(a.requests.size(), 2u);
    second.reset();
    std::filesystem::remove_all(folder);
}

TEST(AttemptHistory, ForgetsRemovedRequestsAndKeepsFirstAttempt) {
    AttemptHistory history(std::nullopt);
    EXPECT_FALSE(history.find("id-1"));
    history.add("id-1", "s-a");
    history.add("id-1", "s-b");
    ASSERT_TRUE(history.find("id-1"));
    EXPECT_EQ(history.find("id-1")->server, AttemptHistory::digest_of("s-a"));
    EXPECT_TRUE(history.find("id-1")->in_flight);
    history.end("id-1");
    EXPECT_FALSE(history.find("id-1")->in_flight);
    history.remove("id-1");
    EXPECT_FALSE(history.find("id-1"));
}

TEST(AttemptHistory, KeepsTheLatestOfManyRequests) {
    constexpr int kRequests = 100000, kLatest = 1024;
    AttemptHistory history(std::nullopt);
    for (int i = 0; i < kRequests; ++i) history.add("id-" + std::to_string(i), "s-a");
    int known = 0;
    for (int i = kRequests - kLatest; i < kRequests; ++i)
        known += history.find("id-" + std::to_string(i)) ? 1 : 0;
    EXPECT_EQ(known, kLatest);
}

TEST(AttemptHistory, WorksWithoutItsFile) {
    AttemptHistory history("/nonexistent-folder/file");
    history.add("id-1", "s-a");
    EXPECT_TRUE(history.find("id-1"));
}

}  // namespace
}  // namespace mothring::node::test
