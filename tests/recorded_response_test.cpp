/// @file
/// Compares every byte of recorded conversations. The tests cover the forms of a server's response as the
/// client receives them, and the responses that the sidecar sends instead of unusable ones.
#include "recorded_conversation_rig.hpp"

namespace mothring::node::test {
namespace {

using RecordedResponse = RecordedConversation;

// ---- Responses ----

TEST_F(RecordedResponse, ChunkedResponseIsStreamed) {
    start_recording({});
    RecordingClient& client = connect();
    client.send(get + "\r\n");
    until([&] { return server.complete_count() == 1; });
    server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Kept: 1\r\n\r\n5;x=\"y\"\r\nfirst\r\n");
    until([&] { return client.has_received("first"); });
    server.send("6\r\nsecond\r\n");
    until([&] { return client.has_received("second"); });
    server.send("0\r\nTrailer-Of: it\r\n\r\n");
    EXPECT_EQ(finish(client),
              "HTTP/1.1 200 OK\r\nX-Kept: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n6\r\n"
              "second\r\n0\r\n\r\n" +
                  healthy);
    EXPECT_EQ(server.received(),
              "GET /listen/item?part=2 HTTP/1.1\r\nRequest-Id: id-1\r\nRequest-Class: listen\r\n"
              "Host: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n\r\n");
}

TEST_F(RecordedResponse, ChunkedResponseForHttp10EndsWithConnection) {
    start_recording({});
    RecordingClient& client = connect();
    client.send(replace_first(get, "HTTP/1.1", "HTTP/1.0") + "Connection: keep-alive\r\n\r\n");
    until([&] { return server.complete_count() == 1; });
    server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
    until([&] { return client.has_received("first"); });
    server.send("6\r\nsecond\r\n0\r\n\r\n");
    until([&] { return client.ended; });
    EXPECT_EQ(client.received, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirstsecond<closed>");
}

TEST_F(RecordedResponse, LongResponseWithLengthIsStreamed) {
    constexpr std::size_t kSize = 1000000;
    start_recording({});
    const std::string body = body_of_size(kSize);
    RecordingClient& client = connect();
    client.send(get + "\r\n");
    until([&] { return server.complete_count() == 1; });
    server.send("HTTP/1.1 200 Fine\r\nContent-Length: 1000000\r\nX-Kept: 1\r\n\r\n" + body.substr(0, 1));
    until([&] { return client.has_received("\r\n\r\n" + body.substr(0, 1)); });
    std::size_t sent = 1;
    constexpr std::size_t kPiece = 50000;
    while (sent < kSize) {
        server.send(body.substr(sent, kPiece));
        sent = std::min(sent + kPiece, kSize);
        until([&] { return client.received.size() >= sent; });
    }
    const std::string received = finish(client);
    const std::size_t body_at = received.find("\r\n\r\n") + 4;
    EXPECT_EQ(received.substr(0, body_at), "HTTP/1.1 200 OK\r\nX-Kept: 1\r\nContent-Length: 1000000\r\n\r\n");
    EXPECT_TRUE(received.substr(body_at) == body + healthy);
}

TEST_F(RecordedResponse, SmallChunkedResponseIsForwardedWithLength) {
    start_recording({{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"}});
    EXPECT_EQ(answer_to(get + "\r\n"), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" + healthy);
}

TEST_F(RecordedResponse, ResponseThatEndsWithConnectionIsReplacedBy503) {
    start_recording({{"HTTP/1.1 200 OK\r\nX-Kept: 1\r\n\r\na song", true}});
    EXPECT_EQ(answer_to(get + "\r\n"),
              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" + healthy);
}

TEST_F(RecordedResponse, ResponseWithoutBodyIsForwardedOnlyIfStatusIs200) {
    start_recording({{"HTTP/1.1 204 No Content\r\nX-Kept: 1\r\n\r\n"},
                     {"HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n"},
                     {response("200 OK", "")}});
    EXPECT_EQ(answer_to(post_with_id(1) + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(answer_to(post_with_id(2) + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(answer_to(post_with_id(3) + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(server.complete_count(), 3u);
}

TEST_F(RecordedResponse, InterimResponseIsSkipped) {
    start_recording({{"HTTP/1.1 100 Continue\r\n\r\n" + response("200 OK", "filed")}});
    EXPECT_EQ(answer_to(post + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
}

TEST_F(RecordedResponse, ServerErrors) {
    start_recording({{response("500 Oops", "why", "X-Kept: 1\r\n")},
                     {response("503 Full", "why", "Retry-After: 2\r\n")},
                     {response("404 Nothing Here", "why")},
                     {response("429 Slower", "why", "Retry-After: 2\r\n")}});
    EXPECT_EQ(answer_to(post_with_id(1) + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(answer_to(post_with_id(2) + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(answer_to(post_with_id(3) + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\nwhy" + healthy);
    EXPECT_EQ(answer_to(post_with_id(4) + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(server.complete_count(), 4u);
}

TEST_F(RecordedResponse, RejectedByEachServer) {
    start_recording({{rejection}});
    EXPECT_EQ(answer_to(post + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" + healthy);
}

TEST_F(RecordedResponse, RejectedWithRetryAfter) {
    constexpr Millis kRetryAfter = 1500;
    server.replies = {{rejection}};
    config::Config config =
        config::read_config(config_json(agent.address(), list_json(41, true, {{"s-a", server.address()}})));
    config.site.settings.max_retry_after = kRetryAfter;
    sidecar.emplace(io, std::move(config));
    EXPECT_EQ(
        answer_to(post + "Content-Length: 2\r\n\r\nhi"),
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.500\r\nContent-Length: 0\r\n\r\n" + healthy);
}

TEST_F(RecordedResponse, RefusedConnections) {
    start_recording({});
    server.stop_listening();
    EXPECT_EQ(answer_to(post + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(server.received(), "");
}

TEST_F(RecordedResponse, TimedOutAttempt) {
    start_recording({});
    EXPECT_EQ(answer_to(replace_first(post, "5000", "300") + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(server.received(),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 2\r\n\r\nhi");
}

TEST_F(RecordedResponse, MalformedOrTruncatedResponseIsReplacedBy502) {
    for (const Reply& reply : {Reply{"nonsense\r\n\r\n"}, Reply{"", true}, Reply{"", false, true},
                               Reply{"HTTP/1.1 200 OK\r\nX", true},
                               Reply{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na so", true},
                               Reply{"HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'x') + "\r\n\r\n"},
                               Reply{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}}) {
        RecordingServer malformed_server(io);
        malformed_server.replies = {reply};
        start({{"s-a", malformed_server.address()}});
        EXPECT_EQ(answer_to(post + "Content-Length: 2\r\n\r\nhi"),
                  "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" + healthy)
            << reply.bytes;
        EXPECT_EQ(malformed_server.complete_count(), 1u);
        recording_clients.clear();
        sidecar.reset();
    }
}

TEST_F(RecordedResponse, TruncatedStreamedResponseClosesConnection) {
    start_recording({});
    RecordingClient& client = connect();
    client.send(post + "Content-Length: 2\r\n\r\nhi");
    until([&] { return server.complete_count() == 1; });
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst");
    until([&] { return client.has_received("first"); });
    server.close();
    until([&] { return client.ended; });
    EXPECT_EQ(client.received, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst<closed>");
}

TEST_F(RecordedResponse, MalformedChunkInStreamedResponseClosesConnection) {
    start_recording({});
    RecordingClient& client = connect();
    client.send(post + "Content-Length: 2\r\n\r\nhi");
    until([&] { return server.complete_count() == 1; });
    server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
    until([&] { return client.has_received("first"); });
    server.send("zz\r\n");
    until([&] { return client.ended; });
    EXPECT_EQ(client.received, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n<closed>");
}

TEST_F(RecordedResponse, TruncatedResponseThatEndsWithConnectionIsReset) {
    start_recording({});
    RecordingClient& client = connect();
    client.send(replace_first(post, "HTTP/1.1", "HTTP/1.0") + "Content-Length: 2\r\n\r\nhi");
    until([&] { return server.complete_count() == 1; });
    server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
    until([&] { return client.has_received("first"); });
    server.close();
    until([&] { return client.ended; });
    EXPECT_EQ(client.received, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst<reset>");
}

// ---- Draining ----

TEST_F(RecordedResponse, DrainClosesEachConnectionAfterItsResponse) {
    start_recording({});
    RecordingClient& client = connect();
    client.send(post + "Content-Length: 2\r\n\r\nhi");
    until([&] { return server.complete_count() == 1; });
    bool drained = false;
    sidecar->drain([&] { drained = true; });
    server.send(response("200 OK", "filed"));
    until([&] { return client.ended; });
    EXPECT_EQ(client.received,
              "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfiled<closed>");
    client.close();
    until([&] { return drained; });
}

}  // namespace
}  // namespace mothring::node::test
