// Requests whose bodies are longer than the buffers, and whose server stops reading them.
#include <array>
#include <chrono>

#include "stream_rig.hpp"

namespace mothring::node::test {
namespace {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kTimeout = 1000;              // ms, the clients' time-out
constexpr milliseconds kSlack{500};         // after its deadline, within which a request must be answered
constexpr std::size_t kBodySize = 9 << 19;  // more than the sidecar and its socket to the server hold

struct StalledUpload : Stream, testing::WithParamInterface<bool> {
    SteadyClock::time_point last_byte_sent;

    std::string upload() const {
        const std::string body = pattern(kBodySize);
        std::string message = request("deposit", "id-1", kTimeout, body);
        const bool is_chunked = GetParam();
        if (!is_chunked) return message;
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx", body.size());
        return replace_first(message.substr(0, message.size() - body.size()),
                             "Content-Length: " + std::to_string(body.size()), "Transfer-Encoding: chunked") +
               size.data() + "\r\n" + body + "\r\n0\r\n\r\n";
    }
    // Starts a sidecar and sends it an upload to the last byte, of which the server reads nothing.
    RawPeer& send_upload(std::list<RawPeer>& clients) {
        raw.set_option(asio::socket_base::receive_buffer_size(4096));
        start_raw();
        RawPeer& client = clients.emplace_back(io, sidecar->address());
        client.out = upload();
        until([&] {
            client.write();
            return client.out.empty();
        });
        last_byte_sent = SteadyClock::now();
        EXPECT_EQ(sidecar->metrics().in_flight, 0u) << "the sidecar has not read the last byte";
        return client;
    }
    void expect_refusal_in_time(RawPeer& client) {
        until([&] {
            client.read();
            return !client.in.empty() || client.ended;
        });
        EXPECT_LE(SteadyClock::now() - last_byte_sent, milliseconds(kTimeout) + kSlack);
        EXPECT_EQ(client.in.substr(0, 12), "HTTP/1.1 503");
        until([&] { return sidecar->request_count() == 0; });
        EXPECT_EQ(sidecar->gauges().requests, 0u);
        until([&] {
            servers.front().read();
            return servers.front().ended;
        });
        EXPECT_LT(servers.front().in.size(), kBodySize) << "refused, so the server must not start it";
        EXPECT_EQ(servers.size(), 1u) << "the body cannot be sent again";
    }
};

// Guards against requests that get no final answer because their last byte waits unread in the sidecar's
// socket, for a server that has gone silent (review case 3).
TEST_P(StalledUpload, IsAnsweredInTimeIfServerGoesSilent) {
    std::list<RawPeer> clients;
    RawPeer& client = send_upload(clients);
    expect_refusal_in_time(client);
}

// The time-out counts from the arrival of the last byte, also if the server has taken a part since then.
TEST_P(StalledUpload, IsAnsweredInTimeIfServerGoesSilentAgain) {
    std::list<RawPeer> clients;
    RawPeer& client = send_upload(clients);
    run_for(milliseconds(kTimeout * 8 / 10));
    until([&] {
        servers.front().read(65536);
        return servers.front().in.size() >= 1 << 20;
    });
    EXPECT_EQ(sidecar->metrics().in_flight, 0u) << "the sidecar has not read the last byte";
    expect_refusal_in_time(client);
}

// Guards against a final answer that comes late because the server reads the request slowly, without a long
// pause.
TEST_P(StalledUpload, IsAnsweredInTimeIfServerReadsSlowly) {
    constexpr std::size_t kPiece =
        16384;  // each time, which is far too little to get all of the body in time
    constexpr milliseconds kPause{50};
    std::list<RawPeer> clients;
    RawPeer& client = send_upload(clients);
    while (client.in.empty() && SteadyClock::now() - last_byte_sent < milliseconds(5 * kTimeout)) {
        run_for(kPause);
        servers.front().read(kPiece);
        client.read();
    }
    expect_refusal_in_time(client);
}

// A pause that is shorter than the time-out does no harm.
TEST_P(StalledUpload, IsServedIfServerReadsAgainInTime) {
    std::list<RawPeer> clients;
    send_upload(clients);
    run_for(milliseconds(kTimeout / 2));
    exchange_until(clients, [&] { return sidecar->metrics().in_flight == 1; });
    exchange_until(clients, [&] { return servers.front().in.size() > kBodySize; });
    servers.front().out = response("200 OK", "served");
    exchange_until(clients, [&] { return clients.front().in.find("served") != std::string::npos; });
    EXPECT_EQ(clients.front().in.substr(0, 12), "HTTP/1.1 200");
}

INSTANTIATE_TEST_SUITE_P(Each, StalledUpload, testing::Bool(),
                         [](const auto& info) { return info.param ? "Chunked" : "WithLength"; });

}  // namespace
}  // namespace mothring::node::test
