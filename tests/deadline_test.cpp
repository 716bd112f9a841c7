// Tests of the Request-Timeout-Ms header that servers receive, and of the rule that no attempt starts after
// the client has left.
#include "held_server.hpp"

namespace mothring::node::test {
namespace {

using Steady = std::chrono::steady_clock;

// The time sent to a server may exceed the time left to the client by at most this much, as the platform
// requires.
constexpr Millis kSlack = 150;

Millis since(Steady::time_point began) { return net::millis(Steady::now() - began); }

struct Deadline : NetRig {
    // Starts a sidecar with a connect time-out of 5 s, for connections that are established late.
    void start_with_long_connect_timeout(const std::vector<ListedServer>& known) {
        const std::string text = config_json(agent.address(), list_json(41, true, known));
        sidecar.emplace(io, config::read_config(replace_first(text, "\"connect-timeout-ms\":150.0",
                                                              "\"connect-timeout-ms\":5000.0")));
    }
    void restart_with_silent_a() {
        sidecar.reset();
        a.requests.clear(), a.connections.clear();
        a.script = silence;
        start_with_a();
    }
    // Returns the time in the first message of these bytes, or -1 if there is none yet.
    static Millis time_left_in(const std::string& bytes) {
        const std::string name = "Request-Timeout-Ms: ";
        const auto at = bytes.find(name);
        return at == std::string::npos ? -1 : std::stod(bytes.substr(at + name.size(), 8));
    }
    static Millis time_left_in(const ScriptedServer::Request& request) {
        return std::stod(std::string(request["Request-Timeout-Ms"]));
    }
    // Checks the time that a server has just received, for a request with that time-out that the client sent
    // at `sent`.
    static void expect_within(Millis time_left, Millis timeout, Steady::time_point sent) {
        EXPECT_GE(time_left, 1);
        EXPECT_LE(time_left, timeout - since(sent) + kSlack);
    }
    void expect_late_connection_within(HeldServer& held, Millis timeout, Steady::time_point sent) {
        held.release();
        until([&] { return time_left_in(held.received) >= 0; });
        EXPECT_GT(since(sent), 2 * kSlack) << "the connection must be established late";
        expect_within(time_left_in(held.received), timeout, sent);
    }
};

// The connection is established late, so the time left must be computed when the request is sent.
TEST_F(Deadline, FirstAttemptStatesTimeLeftWhenConnectionIsEstablished) {
    HeldServer held(io);
    start_with_long_connect_timeout({{"s-held", held.address()}});
    const auto sent = Steady::now();
    client().send(request("deposit", "id-1", 5000, "a body"));
    until([&] { return sidecar->request_count() == 1; });
    expect_late_connection_within(held, 5000, sent);
}

TEST_F(Deadline, RetryStatesTimeLeftWhenConnectionIsEstablished) {
    HeldServer held(io);
    a.script = silence;
    start_with_long_connect_timeout({{"s-a", a.address()}});
    until([&] { return is_watched_from("41"); });
    const auto sent = Steady::now();
    client().send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    send_list(list_json(42, false, {{"s-held", held.address()}}));
    until([&] { return is_watched_from("42"); });
    a.send(0, response("503 Full", "", "Not-Started: 1\r\n"));
    for (int i = 0; i < 2; ++i) send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    expect_late_connection_within(held, 5000, sent);
}

// The header holds whole milliseconds, so a shorter time can't be stated.
TEST_F(Deadline, NoAttemptStartsWithLessThanOneMillisecondLeft) {
    start_with_a();
    send_and_wait(request("listen", "id-warm"));
    for (int i = 0; i < 20; ++i) {
        const auto answer = send_and_wait(request("listen", "id-" + std::to_string(i), 1));
        EXPECT_GE(answer.result_int(), 500u);
    }
    EXPECT_EQ(a.requests.size(), 1u);
}

// The buffer of the sidecar is full, so the last bytes of the upload wait in the kernel's buffer. The time of
// the request has started nevertheless.
TEST_F(Deadline, UploadWithUnreadBytesStatesTimeLeftWhenConnectionIsEstablished) {
    HeldServer held(io);
    start_with_long_connect_timeout({{"s-held", held.address()}});
    const auto sent = Steady::now();
    client().send(request("deposit", "id-1", 5000, std::string(net::BodyBuffer::kMaxCapacity + 2000, 'x')));
    until([&] { return sidecar->request_count() == 1; });
    expect_late_connection_within(held, 5000, sent);
}

// A pipelined request is read together with the previous one or later, depending on when it was sent. In both
// cases its time starts with its arrival.
TEST_F(Deadline, PipelinedRequestStatesTimeLeftAfterItsWait) {
    for (const bool at_once : {true, false}) {
        restart_with_silent_a();
        TestClient& c = client();
        const auto sent = Steady::now();
        const std::string first = request("listen", "id-1"), second = request("listen", "id-2", 2000);
        c.send(at_once ? first + second : first);
        until([&] { return a.requests.size() == 1; });
        if (!at_once) c.send(second);
        until([&] { return since(sent) > 4 * kSlack; });
        a.send(0, response("200 OK", "first"));
        until([&] { return a.requests.size() == 2; });
        expect_within(time_left_in(a.requests[1]), 2000, sent);
    }
}

// Unread bytes are always present on this connection, but each request waits only for a short time. None may
// time out because of the age of the bytes before it.
TEST_F(Deadline, ClientThatSendsWithoutAPauseIsServedBeyondTimeoutOfOneRequest) {
    constexpr int kTimeout = 500;
    start_with_a();
    TestClient& c = client();
    std::size_t sent = 0;
    const auto end = Steady::now() + 2 * std::chrono::milliseconds(kTimeout);
    until([&] {
        for (; sent < c.answers.size() + 20; ++sent)
            c.send(request("listen", "id-" + std::to_string(sent), kTimeout));
        return Steady::now() >= end;
    });
    ASSERT_GT(c.answers.size(), 20u);
    for (const auto& answer : c.answers) ASSERT_EQ(answer.result_int(), 200u);
}

// A request that arrives after the previous response has not waited, whatever bytes followed the previous
// request.
TEST_F(Deadline, RequestAfterPreviousResponseStatesItsFullTime) {
    for (const std::string behind : {"", "\r\n", "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"}) {
        restart_with_silent_a();
        TestClient& c = client();
        const auto began = Steady::now();
        c.send(request("listen", "id-1") + behind);
        until([&] { return a.requests.size() == 1; });
        until([&] { return since(began) > 4 * kSlack; });
        a.send(0, response("200 OK", "first"));
        until([&] { return c.answers.size() == (behind.size() > 2 ? 2 : 1); });
        c.send(request("listen", "id-2", 2000));
        until([&] { return a.requests.size() == 2; });
        EXPECT_GE(time_left_in(a.requests[1]), 2000 - kSlack) << behind;
    }
}

// ---- Clients that have left ----

struct ClientDisconnect : Deadline {
    // How a client disconnects. Bytes sent after the request (`early`) hide the end of the connection from
    // code that only reads bytes.
    struct Disconnect {
        std::string early;
        bool reset;
    };
    const std::vector<Disconnect> disconnects{{"", false}, {"G", false}, {"", true}, {"G", true}};
    static void leave(TestClient& c, const Disconnect& disconnect) {
        disconnect.reset ? c.reset() : c.close();
    }
    void start_with(const std::vector<ListedServer>& known, bool may_cancel = true) {
        std::string text = config_json(agent.address(), list_json(41, true, known));
        // A request that no server may receive is held for one sixteenth of this time.
        text = replace_first(text, "\"on-time-ms\":400.0", "\"on-time-ms\":40000.0");
        if (!may_cancel) text = replace_first(text, "\"may-cancel\":true", "\"may-cancel\":false");
        sidecar.reset();
        a.requests.clear(), b.requests.clear(), agent.requests.clear();
        a.connections.clear(), b.connections.clear(), agent.connections.clear();
        sidecar.emplace(io, config::read_config(text));
    }
    void expect_no_request_left() {
        until([&] { return sidecar->request_count() == 0 && sidecar->metrics().in_flight == 0; });
        EXPECT_EQ(sidecar->gauges().requests, 0u);
    }
    // Waits until the sidecar has read all bytes that have arrived.
    void wait_until_read() {
        for (int i = 0; i < 2; ++i) send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    }
};

// The request and the end of the client's connection are read in the same turn of the event loop. An idle
// connection to the server is available, so the request could be sent at once.
TEST_F(ClientDisconnect, RequestFollowedByDisconnectIsNotSent) {
    for (const Disconnect& disconnect : disconnects) {
        start_with({{"s-a", a.address()}});
        send_and_wait(request("listen", "id-warm"));
        wait_for_connection_reuse(io);
        TestClient& c = client();
        wait_until_read();
        c.send(request("listen", "id-1") + disconnect.early);
        leave(c, disconnect);
        wait_until_read();
        expect_no_request_left();
        EXPECT_EQ(a.requests.size(), 1u) << disconnect.early << disconnect.reset;
    }
}

// The request is held because no server may receive it. A new endpoint list allows it to be sent in the same
// turn of the event loop in which the client disconnects.
TEST_F(ClientDisconnect, HeldRequestIsNotSentIfClientLeavesAsListArrives) {
    for (const Disconnect& disconnect : disconnects) {
        start_with({{"s-a", a.address(), "Terminating"}});
        until([&] { return is_watched_from("41"); });
        TestClient& c = client();
        c.send(request("listen", "id-1") + disconnect.early);
        until([&] { return sidecar->request_count() == 1; });
        wait_until_read();
        leave(c, disconnect);
        send_list(list_json(42, false, {{"s-b", b.address()}}));
        until([&] { return is_watched_from("42"); });
        expect_no_request_left();
        EXPECT_EQ(server_request_count(), 0u) << disconnect.early << disconnect.reset;
        EXPECT_EQ(send_and_wait(request("listen", "id-2")).result_int(), 200u);
    }
}

// The first attempt fails, and its retry is due, in the same turn of the event loop in which the client
// disconnects.
TEST_F(ClientDisconnect, RetryIsNotSentAfterClientHasLeft) {
    for (const Disconnect& disconnect : disconnects) {
        a.script = b.script = silence;
        start_with({{"s-a", a.address()}, {"s-b", b.address()}});
        TestClient& c = client();
        c.send(request("listen", "id-1") + disconnect.early);
        until([&] { return server_request_count() == 1; });
        wait_until_read();
        leave(c, disconnect);
        ScriptedServer& first = a.requests.empty() ? b : a;
        first.send(first.connections.size() - 1, response("503 Full", "", "Not-Started: 1\r\n"));
        expect_no_request_left();
        wait_until_read();
        EXPECT_EQ(server_request_count(), 1u) << disconnect.early << disconnect.reset;
    }
}

// One hundred clients disconnect in one turn of the event loop in which the retries of their requests are
// due.
TEST_F(ClientDisconnect, NoRetryIsSentForBurstOfDisconnectedClients) {
    for (const Disconnect& disconnect : disconnects) {
        a.script = b.script = silence;
        start_with({{"s-a", a.address()}, {"s-b", b.address()}}, false);
        std::vector<TestClient*> all;
        for (int i = 0; i < 100; ++i) {
            all.push_back(&client());
            all.back()->send(request("listen", "id-" + std::to_string(i)) + disconnect.early);
        }
        until([&] { return server_request_count() == 100; });
        wait_until_read();
        for (TestClient* c : all) leave(*c, disconnect);
        for (ScriptedServer* s : {&a, &b})
            for (std::size_t i = 0; i < s->connections.size(); ++i)
                s->send(i, response("503 Full", "", "Not-Started: 1\r\n"));
        expect_no_request_left();
        wait_until_read();
        EXPECT_EQ(server_request_count(), 100u) << disconnect.early << disconnect.reset;
    }
}

// The server has received only a part of the upload when the client disconnects. The rest must not be sent,
// even if the settings forbid cancelling attempts that a server may have started.
TEST_F(ClientDisconnect, PartlySentUploadIsNotCompletedAfterClientHasLeft) {
    const std::string complete_upload =
        request("deposit", "id-1", 5000, std::string(net::BodyBuffer::kMaxCapacity + 2000, 'x'));
    // With `finished`, the last byte of the upload arrives right before the client's disconnection.
    for (const bool finished : {false, true}) {
        start_with({{"s-a", a.address()}}, false);
        TestClient& c = client();
        c.send(complete_upload.substr(0, complete_upload.size() - 10));
        until([&] { return a.connections.size() == 1 && a.connections[0]->parser->is_header_done(); });
        wait_until_read();
        if (finished) c.send(complete_upload.substr(complete_upload.size() - 10));
        c.close();
        expect_no_request_left();
        until([&] { return a.ended_count() == 1; });
        EXPECT_EQ(a.requests.size(), 0u) << finished;
    }
}

}  // namespace
}  // namespace mothring::node::test
