// Bodies that are too large to buffer, slow peers, and the forms of an HTTP/1.1 message.
#include <numeric>

#include "stream_rig.hpp"

namespace mothring::node::test {
namespace {

TEST_F(Stream, ForwardsLargeBodiesUnchangedInBothDirections) {
    start_raw();
    const std::string up = pattern(5 << 20), down = pattern(32 << 20);
    std::list<RawPeer> peers;
    peers.emplace_back(io, sidecar->address()).out = request("deposit", "id-1", 5000, up);
    exchange_until(peers,
                   [&] { return !servers.empty() && body_of(servers.front().in).size() >= up.size(); });
    EXPECT_TRUE(body_of(servers.front().in) == up);
    servers.front().out = response("200 OK", down);
    exchange_until(peers, [&] { return peers.front().in.size() > down.size(); });
    EXPECT_TRUE(body_of(peers.front().in) == down) << peers.front().in.substr(0, 200);
    until([&] { return sidecar->metrics().in_flight == 0; });
    EXPECT_EQ(count_requests("served"), 1);
    EXPECT_EQ(sidecar->request_count(), 0u);
}

// Guards against a sidecar that buffers a large response before it forwards it, and against one that applies
// the request's deadline to a response that has begun.
TEST_F(Stream, ForwardsFirstBytesOfLargeResponseAtOnce) {
    start_raw();
    std::list<RawPeer> peers;
    peers.emplace_back(io, sidecar->address()).out = request("listen", "id-1", 300);
    exchange_until(peers, [&] { return !servers.empty() && !servers.front().in.empty(); });
    servers.front().out = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(10, 'a');
    exchange_until(peers, [&] { return body_of(peers.front().in).size() == 10; });
    const auto late = std::chrono::steady_clock::now() + std::chrono::milliseconds(400);  // past the deadline
    exchange_until(peers, [&] { return std::chrono::steady_clock::now() > late; });
    servers.front().out = std::string(99990, 'b');
    exchange_until(peers, [&] { return body_of(peers.front().in).size() == 100000; });
    EXPECT_NE(peers.front().in.find("\r\nContent-Length: 100000\r\n"), std::string::npos);
    exchange_until(peers, [&] { return count_requests("served") == 1; });
}

// Guards against holding back a response of unknown length until its end: bytes that have arrived are
// forwarded in chunks after a short delay.
TEST_F(Stream, ForwardsChunkedResponseAsItArrives) {
    start_raw();
    std::list<RawPeer> peers;
    peers.emplace_back(io, sidecar->address()).out = request("listen", "id-1");
    exchange_until(peers, [&] { return !servers.empty() && !servers.front().in.empty(); });
    servers.front().out = "HTTP/1.1 200 OK\r\ntransfer-ENCODING: Chunked\r\n\r\n5;x=\"y\"\r\nfirst\r\n";
    exchange_until(peers, [&] { return peers.front().in.find("first") != std::string::npos; });
    servers.front().out = "6\r\nsecond\r\n0\r\nTrailer-Of: it\r\n\r\n";
    exchange_until(peers, [&] { return peers.front().in.find("0\r\n\r\n") != std::string::npos; });
    EXPECT_NE(peers.front().in.find("6\r\nsecond\r\n"), std::string::npos) << peers.front().in;
    EXPECT_FALSE(peers.front().ended);
}

// Guards against unbounded buffering: if clients do not read and the memory for bodies is in use, the sidecar
// must stop reading from the servers.
TEST_F(Stream, SlowClientsStopReadsFromServersAndMemoryStaysBounded) {
    start_raw("8");  // of which 2 MB are for bodies being forwarded
    const std::size_t count = 24, size = 32 << 20;
    std::list<RawPeer> readers;
    for (std::size_t i = 0; i < count; ++i) {
        RawPeer& reader = readers.emplace_back(io, sidecar->address());
        reader.socket.set_option(asio::socket_base::receive_buffer_size(16384));
        reader.out = request("listen", "id-" + std::to_string(i));
        reader.write();
    }
    std::vector<std::size_t> sent(count);
    const std::string piece(65536, 'x');
    const auto serve = [&] {
        std::size_t i = 0;
        for (RawPeer& s : servers) {
            if (s.in.empty()) {
                s.read();
                if (!s.in.empty())
                    s.out = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
            }
            error_code error;
            if (s.out.empty() && !s.in.empty()) sent[i] += s.socket.write_some(asio::buffer(piece), error);
            s.write();
            ++i;
        }
    };
    std::size_t before = 1, same = 0;
    until([&] {  // until the sidecar has read nothing more from the servers for a while
        serve();
        const std::size_t all = std::accumulate(sent.begin(), sent.end(), std::size_t{0});
        same = all == before && all > count * piece.size() ? same + 1 : 0;
        before = all;
        return same > 100;
    });
    EXPECT_LE(sidecar->buffered_bytes(), (2u << 20) + count * net::BodyBuffer::kMinCapacity);
    EXPECT_LT(before, count * size / 2) << "the kernel's buffers hold far less than that";
    // Other clients are served meanwhile.
    EXPECT_EQ(send_and_wait("GET /_health HTTP/1.1\r\n\r\n").result_int(), 200u);
    for (RawPeer& reader : readers) EXPECT_FALSE(reader.ended);
    readers.clear();
    until([&] { return sidecar->request_count() == 0 && sidecar->buffered_bytes() == 0; });
    EXPECT_EQ(count_requests("failed"), static_cast<int>(count));
}

// A transfer at full speed may delay other clients only by a few turns of the event loop.
struct FastTransfer : Stream {
    static constexpr std::size_t kMaxTurns = 300;
    std::list<RawPeer> peers;

    /// Keeps a transfer going and returns after how many turns another client is answered.
    std::size_t turns_until_answer(const std::function<void()>& transfer) {
        constexpr std::size_t kWarmUpTurns = 200;
        run_turns(kWarmUpTurns, transfer);
        RawPeer other(io, sidecar->address());
        other.out = "GET /_health HTTP/1.1\r\n\r\n";
        other.write();
        std::size_t turns = 0;
        while (other.in.empty() && turns < 2 * kMaxTurns) {
            run_turns(1, transfer);
            other.read();
            ++turns;
        }
        return turns;
    }
    void run_turns(std::size_t count, const std::function<void()>& transfer) {
        for (std::size_t i = 0; i < count; ++i) {
            transfer();
            io.restart();
            io.poll_one();
        }
    }
};

// Guards against a client that sends a body in tiny chunks at full speed and so keeps the event loop from all
// others, while memory grows.
TEST_F(FastTransfer, UploadInTinyChunksDoesNotDelayOtherClients) {
    start_raw();
    RawPeer& client = peers.emplace_back(io, sidecar->address());
    client.out = replace_first(request("deposit", "id-1"), "Content-Length: 0", "Transfer-Encoding: chunked");
    client.out += "11170\r\n" + std::string(70000, 'a') + "\r\n";  // forwarded before it is complete
    exchange_until(peers, [&] {
        return !servers.empty() && body_of(servers.front().in).size() > 70000 && client.out.empty();
    });
    std::string tiny;
    for (int i = 0; i < 20000; ++i) tiny += "1\r\nx\r\n";
    EXPECT_LT(turns_until_answer([&] {
                  if (client.out.empty()) client.out = tiny;
                  client.write();
                  servers.front().read();
                  servers.front().in.clear();
              }),
              kMaxTurns);
}

// The same for a response.
TEST_F(FastTransfer, LongResponseDoesNotDelayOtherClients) {
    start_raw();
    RawPeer& client = peers.emplace_back(io, sidecar->address());
    client.out = request("listen", "id-1");
    exchange_until(peers, [&] { return !servers.empty() && !servers.front().in.empty(); });
    servers.front().out =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + std::string(70000, 'a') + "\r\n";
    exchange_until(peers, [&] { return client.in.size() > 70000; });
    std::string tiny;
    for (int i = 0; i < 20000; ++i) tiny += "1\r\nx\r\n";
    EXPECT_LT(turns_until_answer([&] {
                  if (servers.front().out.empty()) servers.front().out = tiny;
                  servers.front().write();
                  client.read();
                  client.in.clear();
              }),
              kMaxTurns);
}

// Guards against a truncated response that looks complete to the client, and against a retry after the
// response has begun.
TEST_F(Stream, ClientDetectsTruncatedResponse) {
    start_raw();
    int number = 0;
    for (const std::string& head :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(70000, 'a')),
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + std::string(70000, 'a'),
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + std::string(70000, 'a') +
              "\r\nzz"}) {
        std::list<RawPeer> peers;
        peers.emplace_back(io, sidecar->address()).out = request("listen", "id-" + std::to_string(++number));
        const std::size_t connections = servers.size();
        exchange_until(peers, [&] { return servers.size() > connections && !servers.back().in.empty(); });
        servers.back().out = head;
        exchange_until(peers, [&] { return peers.front().in.size() > 60000 && servers.back().out.empty(); });
        servers.back().socket.close();
        exchange_until(peers, [&] { return peers.front().ended; });
        EXPECT_EQ(peers.front().in.find("\r\n0\r\n"), std::string::npos);
        until([&] { return sidecar->request_count() == 0; });
        EXPECT_EQ(count_requests("failed"), number);
    }
    EXPECT_EQ(servers.size(), 3u) << "no second attempt";
}

// A small response is buffered until it is complete, so an attempt that breaks off within it can be retried.
TEST_F(Stream, RetriesAfterTruncatedSmallResponse) {
    start();
    int turn = 0;
    a.script = b.script = [&](const auto&) {
        return ++turn == 1
                   ? Reply{"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + std::string(40000, 'a'), true}
                   : Reply{response("200 OK", std::string(50000, 'b'))};
    };
    EXPECT_EQ(send_and_wait(request("listen", "id-1")).body(), std::string(50000, 'b'));
}

// A request body that is no longer buffered cannot be sent again, even if its class allows retries.
TEST_F(Stream, DoesNotRetryLargeRequestOnceItsBodyIsDiscarded) {
    start();
    int turn = 0;
    a.script = b.script = [&](const auto&) {
        return Reply{++turn == 1 ? response("503 Full", "", "Not-Started: 1\r\n") : response("200 OK")};
    };
    std::list<RawPeer> peers;
    peers.emplace_back(io, sidecar->address()).out = request("annotate", "id-1", 5000, pattern(1 << 20));
    exchange_until(peers, [&] { return peers.front().in.find("\r\n\r\n") != std::string::npos; });
    EXPECT_EQ(peers.front().in.substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(turn, 1);
    // A body that is still buffered can be sent again.
    turn = 0;
    EXPECT_EQ(send_and_wait(request("annotate", "id-2", 5000, pattern(60000))).result_int(), 200u);
    EXPECT_EQ(turn, 2);
}

// The time-out of a request counts from its last byte, however slowly the body arrives.
TEST_F(Stream, TimeoutOfSlowRequestCountsFromItsLastByte) {
    start_with_a();
    TestClient& c = client();
    const std::string body = pattern(100000), message = request("deposit", "id-1", 250, body);
    std::size_t sent = message.size() - body.size();
    c.send(message.substr(0, sent));
    asio::steady_timer pace(io);
    while (sent < message.size()) {  // 25 kB every 120 ms
        bool due = false;
        pace.expires_after(std::chrono::milliseconds(120));
        pace.async_wait([&](error_code) { due = true; });
        until([&] { return due; });
        c.send(message.substr(sent, 25000));
        sent += 25000;
    }
    until([&] { return !c.answers.empty() || c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].result_int(), 200u);
    EXPECT_EQ(a.requests.at(0).body(), body);
}

// A small request may arrive in pieces with pauses between them, within two seconds in total.
TEST_F(Stream, AcceptsSmallRequestInPieces) {
    start_with_a();
    TestClient& c = client();
    const std::string message = request("deposit", "id-1", 250, "hello");
    asio::steady_timer pace(io);
    for (const std::size_t from : {message.size() - 5, message.size() - 3, message.size() - 1}) {
        c.send(from + 5 == message.size() ? message.substr(0, from + 2) : message.substr(from, 2));
        bool due = from + 1 == message.size();
        pace.expires_after(std::chrono::milliseconds(900));
        pace.async_wait([&](error_code) { due = true; });
        until([&] { return due || c.ended; });
    }
    until([&] { return !c.answers.empty() || c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].result_int(), 200u);
}

TEST_F(Stream, BodyAboveMaximumSizeIs413) {
    start_with_a();
    const std::string head = "POST /deposit HTTP/1.1\r\nRequest-Id: x\r\nRequest-Timeout-Ms: 900\r\n";
    EXPECT_EQ(send_and_wait(head + "Content-Length: 33554433\r\n\r\n").result_int(), 413u);
    EXPECT_EQ(send_and_wait(head + "Transfer-Encoding: chunked\r\n\r\n2000001\r\n").result_int(), 413u);
    EXPECT_EQ(a.requests.size(), 0u);
}

TEST_F(Stream, AmbiguousFramingIs400) {
    start_with_a();
    const std::string head = "POST /deposit HTTP/1.1\r\nRequest-Id: x\r\nRequest-Timeout-Ms: 900\r\n";
    for (const std::string& bad :
         {std::string("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"),
          std::string("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nhi\r\n0\r\n\r\n"),
          std::string("Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!"),
          std::string("Content-Length: 2, 3\r\n\r\nhi!"), std::string("Content-Length: +2\r\n\r\nhi"),
          std::string("Transfer-Encoding: gzip\r\n\r\nhi"),
          std::string("Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"),
          std::string("Transfer-Encoding: chunked\r\n\r\n2\r\nhix\r\n0\r\n\r\n"),
          std::string("Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
          std::string("Transfer-Encoding: chunked\r\n\r\n-2\r\nhi\r\n")}) {
        TestClient& c = client();
        c.send(head + bad);
        until([&] { return c.ended; });
        ASSERT_EQ(c.answers.size(), 1u) << bad;
        EXPECT_EQ(c.answers[0].result_int(), 400u) << bad;
    }
    EXPECT_EQ(a.requests.size(), 0u);
    EXPECT_EQ(sidecar->request_count(), 0u);
}

// Sends one request in every form that HTTP/1.1 allows, split at different positions.
TEST_F(Stream, AcceptsEveryFormOfRequest) {
    start_with_a();
    a.script = [](const auto& r) { return Reply{response("200 OK", "got " + r.body())}; };
    const std::string head =
        "/deposit HTTP/1.1\r\nHOST: app.svc\r\nrequest-ID: x\r\nRequest-timeout-MS: 5000\r\n";
    int number = 0;
    for (const std::string& text :
         {"POST " + head + "content-length: 5\r\n\r\nhello",
          "\r\nPOST " + head + "Content-Length: 5\r\n\r\nhello",
          "POST " + head + "Transfer-Encoding: CHUNKED\r\n\r\n2;a=b\r\nhe\r\n003\r\nllo\r\n0\r\nX: y\r\n\r\n",
          "POST http://app.svc" + head + "Content-Length: 5\r\n\r\nhello"}) {
        for (const std::size_t step : {text.size(), std::size_t{1}, std::size_t{7}}) {
            const std::string form =
                replace_first(text, "request-ID: x", "request-ID: " + std::to_string(++number));
            TestClient& c = client();
            for (std::size_t at = 0; at < form.size(); at += step) {
                c.send(form.substr(at, step));
                io.poll();
            }
            until([&] { return !c.answers.empty() || c.ended; });
            ASSERT_EQ(c.answers.size(), 1u) << form;
            EXPECT_EQ(c.answers[0].body(), "got hello") << form;
            EXPECT_EQ(a.requests.back().target(), "/deposit");
        }
    }
}

TEST_F(Stream, SendsContinueToClientThatExpectsIt) {
    start_with_a();
    std::list<RawPeer> peers;
    RawPeer& peer = peers.emplace_back(io, sidecar->address());
    const std::string message = request("deposit", "id-1", 5000, "hello");
    peer.out = message.substr(0, message.size() - 9) + "\r\nExpect: 100-Continue\r\n\r\n";
    exchange_until(peers, [&] { return peer.in == "HTTP/1.1 100 Continue\r\n\r\n"; });
    peer.out = "hello";
    exchange_until(peers, [&] { return peer.in.find("200 OK") != std::string::npos; });
    EXPECT_EQ(a.requests.at(0).body(), "hello");
}

TEST_F(Stream, AnswersPipelinedRequestsInOrder) {
    start_with_a();
    a.script = [](const auto& r) { return Reply{response("200 OK", std::string(r["Request-Id"]))}; };
    TestClient& c = client();
    c.send(request("deposit", "1", 5000, "hello") + request("listen", "2") +
           request("deposit", "3", 5000, "x") + request("listen", "4").substr(0, 30));
    until([&] { return c.answers.size() == 3; });
    c.send(request("listen", "4").substr(30));
    until([&] { return c.answers.size() == 4; });
    for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(c.answers[i].body(), std::to_string(i + 1));
}

// Covers bodies that end with the connection, interim responses and chunked bodies.
TEST_F(Stream, ForwardsEveryFormOfResponse) {
    start_with_a();
    int number = 0;
    for (const Reply& reply :
         {Reply{"HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\nthe song", true},
          Reply{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
                response("200 OK", "the song")},
          Reply{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nthe song\r\n0\r\nA: b\r\n\r\n"}}) {
        a.script = [&](const auto&) { return reply; };
        const auto answer = send_and_wait(request("listen", "id-" + std::to_string(++number)));
        EXPECT_EQ(answer.result_int(), 200u);
        EXPECT_EQ(answer.body(), "the song") << reply.bytes;
    }
}

// Guards against clients that hold connections without a complete request and so keep other clients out:
// their connections are evicted.
TEST_F(Stream, IdleAndPartialRequestsDoNotExhaustConnections) {
    start({{"s-a", a.address()}}, "40");  // eight clients at a time
    std::vector<TestClient*> other_clients;
    for (int i = 0; i < 60; ++i) {
        other_clients.push_back(&client());
        if (i % 2) other_clients.back()->send("GET /listen HTTP/1.1\r\nHost");
        if (i % 10 != 9) continue;
        EXPECT_EQ(send_and_wait(request("listen", "id-" + std::to_string(i), 900)).result_int(), 200u);
    }
    EXPECT_EQ(a.requests.size(), 6u);
}

// Guards against taking a reset for the end of a response that has no length. The client must detect the
// truncation, whether or not the response has already been forwarded in part.
TEST_F(Stream, ResetDoesNotCompleteResponseWithoutLength) {
    start_raw();
    const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    for (const bool begun : {false, true})
        for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
            servers.clear();
            std::list<RawPeer> peers;
            std::string text = request("deposit", "id-" + version + std::to_string(begun));
            peers.emplace_back(io, sidecar->address()).out =
                text.replace(text.find("HTTP/1.1"), version.size(), version);
            exchange_until(peers, [&] { return !servers.empty() && !servers.front().in.empty(); });
            servers.front().out = head + "all there is";
            servers.front().turn();
            if (begun)
                exchange_until(peers,
                               [&] { return peers.front().in.find("all there is") != std::string::npos; });
            servers.front().socket.set_option(asio::socket_base::linger(true, 0));
            servers.front().socket.close();
            until([&] {
                peers.front().turn();
                return peers.front().ended || (!begun && !peers.front().in.empty());
            });
            const std::string& in = peers.front().in;
            if (!begun) {
                EXPECT_NE(in.find(" 502 "), std::string::npos) << in;
            } else if (version == "HTTP/1.1") {
                EXPECT_EQ(in.find("\r\n0\r\n"), std::string::npos) << "no last chunk: " << in;
            } else {
                EXPECT_EQ(peers.front().error, asio::error::connection_reset) << in;
            }
        }
    until([&] { return sidecar->metrics().in_flight == 0; });
    EXPECT_EQ(count_requests("served"), 0);
}

// An endless response is forwarded as long as its client reads it; the attempt ends when the client
// disconnects.
TEST_F(Stream, EndlessResponseEndsWhenClientDisconnects) {
    start_raw();
    std::list<RawPeer> peers;
    peers.emplace_back(io, sidecar->address()).out = request("listen", "id-1", 300);
    exchange_until(peers, [&] { return !servers.empty() && !servers.front().in.empty(); });
    servers.front().out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto late =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(600);  // twice the time-out
    exchange_until(peers, [&] {
        if (servers.front().out.empty()) servers.front().out = "4\r\nmore\r\n";
        return std::chrono::steady_clock::now() > late;
    });
    EXPECT_FALSE(peers.front().ended);
    peers.clear();
    until([&] {
        servers.front().turn();
        return servers.front().ended && sidecar->request_count() == 0;
    });
    EXPECT_EQ(sidecar->gauges().requests, 0u);
}

}  // namespace
}  // namespace mothring::node::test
