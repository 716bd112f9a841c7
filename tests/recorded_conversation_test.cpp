/// @file
/// Byte-for-byte comparison of recorded conversations: each form of a request as a server receives it, and
/// the responses to requests that no server receives.
#include "recorded_conversation_rig.hpp"

namespace mothring::node::test {
namespace {

// ---- Requests ----

TEST_F(RecordedConversation, GetWithoutABody) {
    start_recording({{response("200 OK", "a song", "Content-Type: audio/x\r\nServer: s\r\n")}});
    EXPECT_EQ(
        answer_to(get + "Accept: */*\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nContent-Type: audio/x\r\nServer: s\r\nContent-Length: 6\r\n\r\na song" + healthy);
    EXPECT_EQ(server.received(),
              "GET /listen/item?part=2 HTTP/1.1\r\nRequest-Id: id-1\r\nRequest-Class: listen\r\n"
              "Accept: */*\r\nHost: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n\r\n");
}

TEST_F(RecordedConversation, AbsoluteFormOfTheTarget) {
    start_recording({{response("200 OK", "a song")}});
    EXPECT_EQ(answer_to(replace_first(get, "GET /", "GET http://app.svc/") + "\r\n"),
              "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na song" + healthy);
    EXPECT_EQ(server.received(),
              "GET /listen/item?part=2 HTTP/1.1\r\nRequest-Id: id-1\r\nRequest-Class: listen\r\n"
              "Host: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n\r\n");
}

TEST_F(RecordedConversation, PostWithALength) {
    start_recording({{response("200 OK", "filed")}});
    EXPECT_EQ(answer_to(post + "Content-Length: 6\r\n\r\na note"),
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
    EXPECT_EQ(server.received(),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 6\r\n\r\na note");
}

TEST_F(RecordedConversation, PostWithAKeyAndWithoutABody) {
    start_recording({{response("200 OK", "filed")}});
    EXPECT_EQ(
        answer_to(replace_first(annotate, "Content-Length: 4\r\n\r\nnote", "Content-Length: 0\r\n\r\n")),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
    EXPECT_EQ(server.received(),
              "POST /annotate HTTP/1.1\r\nRequest-Id: id-1\r\nIdempotency-Key: key-1\r\n"
              "Host: app.svc\r\nRequest-Timeout-Ms: <varies>\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(RecordedConversation, PostInChunks) {
    start_recording({{response("200 OK", "filed")}});
    EXPECT_EQ(
        answer_to(post +
                  "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\na \r\n4\r\nnote\r\n0\r\nTrailer: t\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
    EXPECT_EQ(server.received(),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 6\r\n\r\na note");
}

TEST_F(RecordedConversation, PostThatExpectsContinue) {
    start_recording({{response("200 OK", "filed")}});
    RecordingClient& client = connect();
    client.send(post + "Expect: 100-continue\r\nContent-Length: 6\r\n\r\n");
    until([&] { return client.received.ends_with("\r\n\r\n"); });
    client.send("a note");
    until([&] { return client.has_received("filed"); });
    EXPECT_EQ(finish(client),
              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
    EXPECT_EQ(server.received(),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 6\r\n\r\na note");
}

TEST_F(RecordedConversation, PostThatExpectsContinueWithoutWaitingForIt) {
    start_recording({{response("200 OK", "filed")}});
    EXPECT_EQ(answer_to(post + "Expect: 100-continue\r\nContent-Length: 6\r\n\r\na note"),
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
    EXPECT_EQ(server.received(),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 6\r\n\r\na note");
}

TEST_F(RecordedConversation, PipelinedRequests) {
    start_recording(
        {{response("200 OK", "first")}, {response("200 OK", "second")}, {response("200 OK", "third")}});
    EXPECT_EQ(answer_to(get + "\r\n" + post + "Content-Length: 2\r\n\r\nhi\r\n\r\n" +
                        replace_first(get, "id-1", "id-3") + "\r\n"),
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\n"
              "Content-Length: 6\r\n\r\nsecondHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthird" +
                  healthy);
    EXPECT_EQ(server.received(),
              "GET /listen/item?part=2 HTTP/1.1\r\nRequest-Id: id-1\r\nRequest-Class: listen\r\n"
              "Host: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n\r\nPOST /deposit/item HTTP/1.1\r\n"
              "Request-Id: id-1\r\nHost: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n"
              "Content-Length: 2\r\n\r\nhiGET /listen/item?part=2 HTTP/1.1\r\nRequest-Id: id-3\r\n"
              "Request-Class: listen\r\nHost: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n\r\n");
}

TEST_F(RecordedConversation, RequestInPieces) {
    start_recording({{response("200 OK", "filed")}});
    RecordingClient& client = connect();
    for (const char byte : post + "Content-Length: 6\r\n\r\na note") client.send(std::string(1, byte));
    until([&] { return client.has_received("filed"); });
    EXPECT_EQ(finish(client), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
    EXPECT_EQ(server.received(),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 6\r\n\r\na note");
}

TEST_F(RecordedConversation, ConnectionClose) {
    start_recording({{response("200 OK", "a song")}});
    EXPECT_EQ(answer_until_closed(get + "Connection: close\r\n\r\n" + get + "\r\n"),
              "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\na song<closed>");
    EXPECT_EQ(server.received(),
              "GET /listen/item?part=2 HTTP/1.1\r\nRequest-Id: id-1\r\nRequest-Class: listen\r\n"
              "Host: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n\r\n");
}

TEST_F(RecordedConversation, Http10) {
    start_recording({{response("200 OK", "a song")}});
    EXPECT_EQ(answer_until_closed(replace_first(get, "HTTP/1.1", "HTTP/1.0") + "\r\n"),
              "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\na song<closed>");
    EXPECT_EQ(server.received(),
              "GET /listen/item?part=2 HTTP/1.1\r\nRequest-Id: id-1\r\nRequest-Class: listen\r\n"
              "Host: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n\r\n");
}

TEST_F(RecordedConversation, Http10KeptAlive) {
    start_recording({{response("200 OK", "a song")}});
    EXPECT_EQ(answer_to(replace_first(get, "HTTP/1.1", "HTTP/1.0") + "Connection: keep-alive\r\n\r\n"),
              "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na song" + healthy);
    EXPECT_EQ(server.received(),
              "GET /listen/item?part=2 HTTP/1.1\r\nRequest-Id: id-1\r\nRequest-Class: listen\r\n"
              "Host: app.svc\r\nRequest-Timeout-Ms: <varies>\r\n\r\n");
}

TEST_F(RecordedConversation, LargeRequestWithALength) {
    constexpr std::size_t kSize = 300000;
    start_recording({{response("200 OK", "filed")}});
    const std::string body = body_of_size(kSize);
    EXPECT_EQ(answer_to(post + "Content-Length: 300000\r\n\r\n" + body),
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
    const std::string received = server.received();
    ASSERT_GT(received.size(), kSize);
    EXPECT_EQ(received.substr(0, received.size() - kSize),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 300000\r\n\r\n");
    EXPECT_TRUE(received.ends_with(body));
}

TEST_F(RecordedConversation, LargeRequestInChunks) {
    constexpr std::size_t kSize = 300000;
    start_recording({{response("200 OK", "filed")}});
    const std::string body = body_of_size(kSize);
    EXPECT_EQ(answer_to(post + "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + body + "\r\n0\r\n\r\n"),
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfiled" + healthy);
    const std::string received = server.received();
    const std::size_t body_at = received.find("\r\n\r\n") + 4;
    EXPECT_EQ(received.substr(0, body_at),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nTransfer-Encoding: chunked\r\n\r\n");
    EXPECT_TRUE(decode_chunks(received, body_at) == body);
}

// ---- Health checks ----

TEST_F(RecordedConversation, HealthChecks) {
    start_recording({});
    EXPECT_EQ(answer_to("\r\n\r\nGET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"), healthy);
    EXPECT_EQ(answer_to("POST /_health HTTP/1.1\r\n\r\n"),
              "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\n"
              "Content-Length: 18\r\n\r\nMethod Not Allowed" +
                  healthy);
    EXPECT_EQ(answer_until_closed("GET /_health HTTP/1.0\r\n\r\n"),
              "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n"
              "Content-Length: 2\r\n\r\nOK<closed>");
    EXPECT_EQ(answer_until_closed("HEAD /_health HTTP/1.1\r\nConnection: close\r\n\r\n"),
              "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\nConnection: close\r\n"
              "Content-Length: 18\r\n\r\nMethod Not Allowed<closed>");
    EXPECT_EQ(server.received(), "");
}

// ---- Requests that no server receives ----

TEST_F(RecordedConversation, UnknownClassAndWrongForm) {
    start_recording({});
    EXPECT_EQ(
        answer_to(replace_first(replace_first(get, "/listen", "/bequest"), "Request-Class: listen\r\n", "") +
                  "\r\n"),
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(answer_to(replace_first(get, "GET", "PUT") + "\r\n"),
              "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(answer_to(get + "Content-Length: 2\r\n\r\nhi"),
              "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(answer_to(replace_first(annotate, "Idempotency-Key", "Another-Key")),
              "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(answer_to(replace_first(get, "GET", "HEAD") + "\r\n"),
              "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n" + healthy);
    EXPECT_EQ(server.received(), "");
}

TEST_F(RecordedConversation, MalformedRequests) {
    start_recording({});
    const std::string bad_request =
        "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\n"
        "Content-Length: 11\r\n\r\nBad Request<closed>";
    for (const std::string& bad :
         {std::string("nonsense\r\n\r\n"), replace_first(get, "Request-Id: id-1\r\n", "") + "\r\n",
          get + "Request-Id: id-2\r\n\r\n", replace_first(get, "5000", "soon") + "\r\n",
          replace_first(get, "5000", "-5") + "\r\n",
          replace_first(get, "Class: listen", "Class: deposit") + "\r\n",
          replace_first(get, "HTTP/1.1", "HTTP/1.2") + "\r\n",
          replace_first(get, "HTTP/1.1", "HTTP/2.0") + "\r\n",
          get + "X: " + std::string(20000, 'x') + "\r\n\r\n", post + "Content-Length: +2\r\n\r\nhi",
          post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
          post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
          post + "Transfer-Encoding: gzip\r\n\r\nhi",
          post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n"})
        EXPECT_EQ(answer_until_closed(bad), bad_request) << bad.substr(0, 300);
    EXPECT_EQ(server.received(), "");
}

TEST_F(RecordedConversation, OversizeBodies) {
    start_recording({});
    EXPECT_EQ(answer_until_closed(post + "Content-Length: 33554433\r\n\r\n"),
              "HTTP/1.1 413 Payload Too Large\r\nContent-Type: text/plain\r\nConnection: close\r\n"
              "Content-Length: 17\r\n\r\nPayload Too Large<closed>");
    EXPECT_EQ(answer_until_closed(post + "Transfer-Encoding: chunked\r\n\r\n2000001\r\n"),
              "HTTP/1.1 413 Payload Too Large\r\nContent-Type: text/plain\r\nConnection: close\r\n"
              "Content-Length: 17\r\n\r\nPayload Too Large<closed>");
    EXPECT_EQ(server.received(), "");
}

TEST_F(RecordedConversation, ClientThatDisconnectsWithinItsRequest) {
    start_recording({{response("200 OK", "a song")}});
    for (const std::string& partial : {std::string("GET /lis"), get, post + "Content-Length: 6\r\n\r\na n",
                                       post + "Transfer-Encoding: chunked\r\n\r\n6\r\na n"}) {
        RecordingClient& client = connect();
        client.send(partial);
        client.shut_down_sending();
        until([&] { return client.ended; });
        EXPECT_EQ(client.received, "<closed>");
    }
    EXPECT_EQ(server.received(), "");
}

TEST_F(RecordedConversation, ClientThatDisconnectsWithinALargeRequest) {
    constexpr std::size_t kSize = 300000;
    constexpr std::size_t kSent = 200000;
    start_recording({});
    const std::string body = body_of_size(kSize).substr(0, kSent);
    RecordingClient& client = connect();
    client.send(post + "Content-Length: 300000\r\n\r\n" + body);
    until([&] { return server.received().size() > kSent && server.received().ends_with(body); });
    client.close();
    until([&] { return server.ended_count() == 1; });
    const std::string received = server.received();
    EXPECT_EQ(received.substr(0, received.size() - kSent),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 300000\r\n\r\n");
}

TEST_F(RecordedConversation, ClientThatDisconnectsBeforeTheResponse) {
    start_recording({});
    RecordingClient& client = connect();
    client.send(post + "Content-Length: 2\r\n\r\nhi");
    until([&] { return server.complete_count() == 1; });
    client.shut_down_sending();
    until([&] { return client.ended && server.ended_count() == 1; });
    EXPECT_EQ(client.received, "<closed>");
    EXPECT_EQ(server.received(),
              "POST /deposit/item HTTP/1.1\r\nRequest-Id: id-1\r\nHost: app.svc\r\n"
              "Request-Timeout-Ms: <varies>\r\nContent-Length: 2\r\n\r\nhi");
}

}  // namespace
}  // namespace mothring::node::test
