// Tests of race conditions between two events, such as a disconnection and a response. Each test forces
// the order of the events: a peer holds back a byte, a close or a connection until the other event has
// happened.
#include <poll.h>

#include "held_server.hpp"

namespace mothring::node::test {
namespace {

struct RaceConditions : NetRig {
    // Starts a sidecar with a connect time-out of 5 s, for connections that are established late.
    void start_with_long_connect_timeout(const std::vector<ListedServer>& known, bool may_cancel = false,
                                         int window = 3000) {
        std::string text = config_json(agent.address(), list_json(41, true, known));
        text = replace_first(text, "\"connect-timeout-ms\":150.0", "\"connect-timeout-ms\":5000.0");
        if (!may_cancel) text = replace_first(text, "\"may-cancel\":true", "\"may-cancel\":false");
        text = replace_first(text, "\"dedup-window-ms\":3000.0",
                             "\"dedup-window-ms\":" + std::to_string(window));
        sidecar.emplace(io, config::read_config(text));
    }
    bool has_no_request_in_flight() const { return sidecar->metrics().in_flight == 0; }
};

// The settings forbid cancelling attempts. An attempt whose request has not been sent must still not be sent
// after the client has left.
TEST_F(RaceConditions, RequestIsNotSentIfConnectionIsEstablishedAfterClientHasLeft) {
    HeldServer held(io);
    start_with_long_connect_timeout({{"s-held", held.address()}});
    TestClient& c = client();
    c.send(request("deposit", "id-left"));
    until([&] { return sidecar->request_count() == 1; });
    c.close();
    until([&] { return has_no_request_in_flight(); });
    held.release();
    EXPECT_EQ(send_and_wait(request("deposit", "id-stays")).body(), "held");
    EXPECT_EQ(held.received.find("id-left"), std::string::npos) << held.received;
    EXPECT_EQ(sidecar->request_count(), 0u);
    EXPECT_EQ(sidecar->gauges().requests, 0u);
}

// The sidecar must check the endpoint list again when the connection has been established.
TEST_F(RaceConditions, RequestIsNotSentIfConnectionIsEstablishedAfterServerDrains) {
    HeldServer held(io);
    start_with_long_connect_timeout({{"s-held", held.address()}});
    until([&] { return is_watched_from("41"); });
    TestClient& c = client();
    c.send(request("deposit", "id-1"));
    until([&] { return sidecar->request_count() == 1; });
    send_list(list_json(42, false, {{"s-held", held.address(), "Terminating"}, {"s-b", b.address()}}));
    until([&] { return is_watched_from("42"); });
    held.release();
    until([&] { return c.answers.size() == 1; });
    EXPECT_EQ(c.answers[0].body(), "served");
    EXPECT_EQ(b.requests.size(), 1u);
    EXPECT_EQ(held.accepted, 1u);
    EXPECT_EQ(held.received, "");
}

// Servers deduplicate a retry by its idempotency key only within the deduplication window. A retry that would
// arrive later must not be sent.
TEST_F(RaceConditions, RetryIsNotSentIfConnectionIsEstablishedAfterDedupWindow) {
    HeldServer held(io);
    a.script = silence;
    // The window is shorter than the 1 s after which the kernel repeats a connection attempt.
    start_with_long_connect_timeout({{"s-a", a.address()}}, false, 700);
    until([&] { return is_watched_from("41"); });
    TestClient& c = client();
    c.send(request("annotate", "id-1"));
    until([&] { return a.requests.size() == 1; });
    send_list(list_json(42, false, {{"s-held", held.address()}}));
    until([&] { return is_watched_from("42"); });
    a.close();  // The request may have run. The retry to the other server is due within the window.
    for (int i = 0; i < 2; ++i) send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    held.release();
    until([&] { return c.answers.size() == 1 || c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_GE(c.answers[0].result_int(), 500u);
    EXPECT_EQ(held.accepted, 1u) << "the connection must be established after the window";
    EXPECT_EQ(held.received, "");
}

// The end of the client's connection follows bytes of its next request, which are not read while the first
// request waits. The sidecar must detect the disconnection before it sends a retry.
TEST_F(RaceConditions, DisconnectBehindUnreadBytesIsDetectedBeforeRetry) {
    for (const std::size_t early :
         {std::size_t(1), std::size_t(40000)}) {  // in the sidecar's buffer, or also in the kernel's
        a.requests.clear(), b.requests.clear();
        sidecar.reset();
        start_with_long_connect_timeout({{"s-a", a.address()}, {"s-b", b.address()}}, true);
        a.script = b.script = silence;
        TestClient& c = client();
        c.send(request("listen", "id-1") + std::string(early, 'G'));
        until([&] { return server_request_count() == 1; });
        c.close();
        ScriptedServer& first = a.requests.empty() ? b : a;
        a.script = b.script = serve;
        first.send(first.connections.size() - 1, response("503 Full", "", "Not-Started: 1\r\n"));
        until([&] { return has_no_request_in_flight(); });
        EXPECT_EQ(server_request_count(), 1u) << early;
        EXPECT_EQ(sidecar->request_count(), 0u);
        EXPECT_EQ(sidecar->gauges().requests, 0u);
    }
}

// One hundred clients disconnect in the same turn of the event loop in which their responses arrive. The
// sidecar must not keep any of their requests.
TEST_F(RaceConditions, BurstOfDisconnectsAsResponsesArriveLeavesNoRequest) {
    for (const bool reset : {false, true}) {
        sidecar.reset();
        a.connections.clear(), a.requests.clear();
        start_with_long_connect_timeout({{"s-a", a.address()}}, true);
        a.script = silence;
        std::vector<TestClient*> all;
        for (int i = 0; i < 100; ++i) {
            all.push_back(&client());
            all.back()->send(request("listen", "id-" + std::to_string(i)));
        }
        until([&] { return a.requests.size() == 100; });
        for (std::size_t i = 0; i < a.connections.size(); ++i) a.send(i, response("200 OK", "late"));
        for (TestClient* c : all) reset ? c->reset() : c->close();
        until([&] { return sidecar->request_count() == 0 && has_no_request_in_flight(); });
        EXPECT_EQ(sidecar->gauges().requests, 0u);
        a.script = serve;
        EXPECT_EQ(send_and_wait(request("listen", "id-last")).body(), "served");
    }
}

// ---- Shutdown ----

struct ShutdownRaceConditions : RaceConditions {
    using Steady = std::chrono::steady_clock;
    bool done = false;
    // Starts a sidecar whose settings allow no deadline longer than `longest` ms.
    void start_with_longest_deadline(int longest, const std::string& sockets = "1024") {
        const std::string text =
            config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}}), sockets);
        const std::string deadline = ",\"give-up-ms\":" + std::to_string(longest) + ".0,\"credit\":3.0";
        sidecar.emplace(io, config::read_config(replace_first(text, ",\"credit\":3.0", deadline)));
    }
    void drain() {
        sidecar->drain([&] { done = true; });
    }
    // Writes to a connection that the sidecar has shut down, and returns the error or 0.
    static int error_after_writing(net::Tcp::socket& socket, const std::string& bytes) {
        error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        int pending = 0;
        socklen_t size = sizeof pending;
        ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size);
        return error ? error.value() : pending;
    }
    // Returns a client's idle connection that has one unread response.
    net::Tcp::socket idle_connection() {
        net::Tcp::socket socket(io);
        socket.connect(sidecar->address());
        asio::write(socket, asio::buffer(request("listen", "id-" + std::to_string(++requests_sent))));
        until([&] { return socket.available() > 0; });
        return socket;
    }
    // Checks that the sidecar shuts the connection down without a reset, so that the unread response is not
    // lost.
    void expect_end_without_reset(net::Tcp::socket& socket) {
        const auto ended = [&] {
            pollfd look{socket.native_handle(), POLLRDHUP, 0};
            return ::poll(&look, 1, 0) > 0 && (look.revents & POLLRDHUP) != 0;
        };
        ASSERT_NO_FATAL_FAILURE(until(ended));
        EXPECT_EQ(error_after_writing(socket, request("listen", "id-late")), 0);
        std::string all(4096, '\0');
        error_code error;
        all.resize(asio::read(socket, asio::buffer(all), error));
        EXPECT_EQ(error, asio::error::eof);
        EXPECT_NE(all.find("served"), std::string::npos);
    }
    int requests_sent = 0;
};

// A client sends a request while the sidecar closes its idle connection. The sidecar must shut down its
// sending side first instead of a reset, because a reset can destroy an unread response. It must not forward
// the late request.
TEST_F(ShutdownRaceConditions, RequestDuringCloseForDrainDoesNotCauseReset) {
    start_with_longest_deadline(3000);
    net::Tcp::socket idle_client = idle_connection();
    drain();
    expect_end_without_reset(idle_client);
    until([&] { return done; });
    EXPECT_EQ(a.requests.size(), 1u);
}
TEST_F(ShutdownRaceConditions, RequestDuringCloseAtConnectionLimitDoesNotCauseReset) {
    // With 28 sockets, the limit for clients and servers together is eight connections.
    start_with_longest_deadline(3000, "28");
    net::Tcp::socket idle_client = idle_connection();
    std::list<net::Tcp::socket> others;
    for (int i = 0; i < 3; ++i) others.push_back(idle_connection());
    expect_end_without_reset(idle_client);
    EXPECT_EQ(a.requests.size(), 4u);
}

// The longest deadline that the settings allow, not a fixed 3 s, determines how long after SIGTERM a process
// may be killed. By then, requests that arrive during the drain must be answered, and incomplete ones must be
// rejected.
TEST_F(ShutdownRaceConditions, RequestsDuringDrainAreAnsweredBeforeProcessMayBeKilled) {
    start_with_longest_deadline(300);
    a.script = silence;
    TestClient &head = client(), &body = client(), &late = client(), &idle_client = client();
    head.send("GET /listen HTTP/1.1\r\nHo");
    const std::string deposit = request("deposit", "id-body", 300, "a body");
    body.send(deposit.substr(0, deposit.size() - 2));
    const std::string complete_request = request("listen", "id-late", 5000);
    late.send(complete_request.substr(0, complete_request.size() - 2));
    send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    const auto began = Steady::now();
    drain();
    until([&] { return idle_client.ended; });  // The sidecar accepts no new connection from here on.
    late.send(complete_request.substr(complete_request.size() - 2));
    until([&] { return head.ended && body.ended && late.ended; });
    EXPECT_LE(Steady::now() - began, std::chrono::milliseconds(300 + 700));
    until([&] { return done; });
    ASSERT_EQ(head.answers.size(), 1u);
    EXPECT_EQ(head.answers[0].result_int(), 503u);
    ASSERT_EQ(body.answers.size(), 1u);
    EXPECT_EQ(body.answers[0].result_int(), 503u);
    ASSERT_EQ(late.answers.size(), 1u);
    EXPECT_EQ(late.answers[0].result_int(), 503u) << "the client may retry the request";
}

// The last byte of a request arrives in the same turn of the event loop in which the drain ends the waiting
// connections. The test blocks the loop until both are due.
TEST_F(ShutdownRaceConditions, RequestCompletedAsDrainEndsIsAnswered) {
    start_with_longest_deadline(300);
    TestClient& c = client();
    const std::string complete_request = request("listen", "id-1", 300);
    c.send(complete_request.substr(0, complete_request.size() - 2));
    send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    TestClient& idle_client = client();
    const auto began = Steady::now();
    drain();
    until([&] { return idle_client.ended; });
    while (Steady::now() < began + std::chrono::milliseconds(700)) {
    }
    c.send(complete_request.substr(complete_request.size() - 2));
    until([&] { return done && c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].result_int(), 200u);
}

// A response and an upload have been transferred partly when the drain begins. Neither may be truncated, and
// the drain must not finish before them.
TEST_F(ShutdownRaceConditions, BodiesInTransferAreCompletedDuringDrain) {
    start_with_longest_deadline(3000);
    a.script = [&](const auto& r) {
        return r["Request-Id"] == "id-down" ? Reply{"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n1234"}
                                            : Reply{response("200 OK", "up")};
    };
    TestClient &down = client(), &up = client();
    down.send(request("listen", "id-down"));
    until([&] { return a.requests.size() == 1; });
    const std::string deposit = request("deposit", "id-up", 3000, "a body");
    up.send(deposit.substr(0, deposit.size() - 2));
    TestClient& idle_client = client();
    send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    drain();
    until([&] { return idle_client.ended; });
    up.send(deposit.substr(deposit.size() - 2));
    until([&] { return up.ended; });
    ASSERT_EQ(up.answers.size(), 1u);
    EXPECT_EQ(up.answers[0].body(), "up");
    EXPECT_FALSE(done);
    a.send(0, std::string(100000 - 4, 'x'));
    until([&] { return done && !down.answers.empty(); });
    ASSERT_EQ(down.answers.size(), 1u);
    EXPECT_EQ(down.answers[0].body().size(), 100000u);
}

// A connection waits in the kernel's queue when the drain begins, and the process has no free descriptor to
// accept it. The listener must not close before it has accepted the connection.
TEST_F(ShutdownRaceConditions, QueuedConnectionIsAcceptedBeforeListenerCloses) {
    start_with_longest_deadline(3000);
    net::Tcp::socket idle_client = idle_connection();
    // No request may be in flight while there are no descriptors, because a sanitizer's type checks need
    // some.
    until([&] { return has_no_request_in_flight(); });
    TestClient& queued = client();
    std::optional<DescriptorExhaustion> no_descriptors(std::in_place);
    queued.send(request("listen", "id-queued"));
    drain();
    const auto over = Steady::now() + std::chrono::milliseconds(700);
    until([&] { return Steady::now() > over; });
    no_descriptors.reset();
    until([&] { return queued.ended; });
    ASSERT_EQ(queued.answers.size(), 1u);
    EXPECT_EQ(queued.answers[0].result_int(), 200u);
    until([&] { return done; });
}

// ---- Discovery ----

struct DiscoveryRaceConditions : RaceConditions {
    using Steady = std::chrono::steady_clock;
    std::uint64_t calls() const { return sidecar->metrics().list.calls; }
    void start_with_on_request_discovery() { start_with_on_request_discovery({{"s-a", a.address()}}); }
    void start_with_on_request_discovery(const std::vector<ListedServer>& known) {
        const std::string text = config_json(agent.address(), list_json(41, true, known));
        sidecar.emplace(io, config::read_config(replace_first(text, "\"pushed\"", "\"on_request\"")));
    }
    // Returns the longest time between two calls to discovery, until it has been called `most` times.
    Steady::duration longest_gap(std::uint64_t most) {
        Steady::duration longest{};
        for (std::uint64_t seen = calls(); seen < most; seen = calls()) {
            const auto began = Steady::now();
            until([&] { return calls() > seen; });
            if (HasFailure()) break;
            longest = std::max(longest, Steady::now() - began);
        }
        return longest;
    }
    // Makes discovery available again with a list in which s-a is draining. Checks that the sidecar gets the
    // list in time and sends nothing more to s-a.
    void expect_drain_received(ScriptedServer& discovery, Steady::duration within) {
        const auto reachable = Steady::now();
        bool is_sent = false;
        discovery.script = [&](const auto&) {
            if (std::exchange(is_sent, true)) return Reply{};
            return Reply{response(
                "200 OK", list_json(42, true, {{"s-a", a.address(), "Terminating"}, {"s-b", b.address()}}))};
        };
        until([&] { return sidecar->metrics().list.version == 42; });
        EXPECT_LE(Steady::now() - reachable, within);
        EXPECT_EQ(send_and_wait(request("listen", "id-1")).result_int(), 200u);
        EXPECT_EQ(a.requests.size(), 0u);
    }
};

// A change of the list counts as notified 6 s after discovery had it and could be reached, whatever calls
// failed before. The worst case is a call that begins right before the change and hangs for 2 s, a pause of
// at most 1.5 s, and the time of the next call.
TEST_F(DiscoveryRaceConditions, DrainIsReceivedInTimeAfterFailedCalls) {
    for (const Reply& reply :
         {Reply{response("503 Busy")}, Reply{"", false, true}, Reply{"", true}, Reply{"HTTP/1.1 200 O", true},
          Reply{response("200 OK", "{\"version\":99,\"full\":true,\"servers\":[{\"id\":")}}) {
        sidecar.reset();
        agent.script = [&](const auto&) { return reply; };
        start_with_on_request_discovery();
        EXPECT_LE(longest_gap(6), std::chrono::milliseconds(1600)) << reply.bytes;
        expect_drain_received(agent, std::chrono::milliseconds(1600));
    }
}
TEST_F(DiscoveryRaceConditions, DrainIsReceivedInTimeAfterRefusedCalls) {
    agent.close();
    start_with_on_request_discovery();
    EXPECT_LE(longest_gap(6), std::chrono::milliseconds(1600));
    ScriptedServer back(io, silence, agent.endpoint());
    expect_drain_received(back, std::chrono::milliseconds(1600));
}
TEST_F(DiscoveryRaceConditions, DrainIsReceivedInTimeAfterHangingCalls) {
    start_with_on_request_discovery();
    EXPECT_LE(longest_gap(3), std::chrono::milliseconds(3600));
    expect_drain_received(agent, std::chrono::milliseconds(3600));
}

// Discovery rejects every call. Meanwhile a server's process ends and a new one starts at the same address,
// without a list that shows either. After the bound of 6 s the server may count as removed and added again,
// so no request may be sent to it. The other server is known to accept requests.
TEST_F(DiscoveryRaceConditions, RestartedServerGetsNothingPastBoundWhileCallsAreRejected) {
    agent.script = [](const auto&) { return Reply{response("503 Busy", "too many calls")}; };
    start_with_on_request_discovery({{"s-a", a.address()}, {"s-b", b.address()}});
    const auto bound = Steady::now() + std::chrono::milliseconds(6000);
    int next = 0;
    const auto serve_until = [&](const std::function<bool()>& reached) {
        while (!reached() && !HasFailure())
            EXPECT_EQ(send_and_wait(request("listen", "id-" + std::to_string(next++))).result_int(), 200u);
    };
    serve_until([&] { return a.requests.size() >= 10 && b.requests.size() >= 10; });
    // The server's process ends during a request, and a new process answers at once.
    bool killed = false;
    a.script = [&](const auto& r) { return std::exchange(killed, true) ? serve(r) : Reply{"", false, true}; };
    serve_until([&] { return killed; });
    const std::size_t after_return = a.requests.size();
    serve_until([&] { return Steady::now() >= bound; });
    EXPECT_GT(a.requests.size(), after_return) << "within the bound the list is still valid";
    // The sidecar measures the bound from its own first call.
    serve_until([&] { return Steady::now() >= bound + std::chrono::milliseconds(200); });
    const std::size_t before = a.requests.size();
    for (int i = 0; i < 50; ++i) serve_until([&, from = next] { return next > from; });
    EXPECT_EQ(a.requests.size(), before);
    // The server is used again after a new list has been received.
    bool is_sent = false;
    agent.script = [&](const auto&) {
        if (std::exchange(is_sent, true)) return Reply{};
        return Reply{response("200 OK", list_json(42, true, {{"s-a", a.address()}, {"s-b", b.address()}}))};
    };
    until([&] { return sidecar->metrics().list.version == 42; });
    serve_until([&] { return a.requests.size() > before; });
}

// The same with a single server. A listed server is still used if there is no other one.
TEST_F(DiscoveryRaceConditions, OnlyServerStillServesPastBoundWhileCallsAreRejected) {
    agent.script = [](const auto&) { return Reply{response("503 Busy")}; };
    start_with_on_request_discovery();
    const auto bound = Steady::now() + std::chrono::milliseconds(6200);
    bool killed = false;
    a.script = [&](const auto& r) { return std::exchange(killed, true) ? serve(r) : Reply{"", false, true}; };
    send_and_wait(request("listen", "id-killed"));
    until([&] { return Steady::now() >= bound; });
    EXPECT_EQ(send_and_wait(request("listen", "id-served")).result_int(), 200u);
}

// The subscription gets no response again right after it was restarted. The next call must still begin in
// time.
TEST_F(DiscoveryRaceConditions, SubscriptionThatTimesOutTwiceIsRestartedInTime) {
    start_with_on_request_discovery();
    until([&] { return calls() == 1; });
    const auto silent = Steady::now();
    until([&] { return calls() == 3; });
    EXPECT_LE(Steady::now() - silent, std::chrono::milliseconds(5000));
    expect_drain_received(agent, std::chrono::milliseconds(3600));
}

// Two reloads (SIGHUP) in a row change discovery's address while one call is in flight, or while a late call
// and a second one are. The old address responds afterwards with a higher version, which must be ignored.
TEST_F(DiscoveryRaceConditions, ResponseOfOldAddressIsIgnoredAfterReload) {
    const std::string wrong = response("200 OK", list_json(99, true, {{"s-a", a.address(), "Terminating"}}));
    for (const int calls_before : {1, 2}) {
        sidecar.reset();
        ScriptedServer old(io, silence), intermediate(io, silence), moved(io, silence);
        const auto config = [&](const ScriptedServer& at) {
            return config::read_config(
                replace_first(config_json(at.address(), list_json(41, true, {{"s-a", a.address()}})),
                              "\"pushed\"", "\"on_request\""));
        };
        sidecar.emplace(io, config(old));
        until([&] { return old.requests.size() == static_cast<std::size_t>(calls_before); });
        sidecar->reconfigure(config(intermediate));
        sidecar->reconfigure(config(moved));
        for (std::size_t i = 0; i < old.connections.size(); ++i) {
            error_code ended;
            asio::write(old.connections[i]->socket, asio::buffer(wrong), ended);
        }
        until([&] { return moved.requests.size() == 1; });
        EXPECT_NE(moved.requests[0].target().find("from=41&"), boost::beast::string_view::npos);
        EXPECT_EQ(send_and_wait(request("listen", "id-" + std::to_string(calls_before))).result_int(), 200u);
        EXPECT_EQ(sidecar->metrics().list.version, 41u);
        moved.send(0, response("200 OK", list_json(42, false, {})));
        until([&] { return moved.requests.size() == 2; });
        EXPECT_EQ(sidecar->metrics().list.version, 42u);
    }
}
// The reload happens during the pause before the next call.
TEST_F(DiscoveryRaceConditions, ReloadBeforeNextCallCallsNewAddressAtOnce) {
    agent.script = [](const auto&) { return Reply{response("503 Busy")}; };
    start_with_on_request_discovery();
    until([&] { return agent.requests.size() == 1 && sidecar->metrics().list.failing; });
    ScriptedServer moved(io, silence);
    sidecar->reconfigure(config::read_config(replace_first(
        config_json(moved.address(), list_json(41, true, {})), "\"pushed\"", "\"on_request\"")));
    until([&] { return moved.requests.size() == 1; });
    for (int i = 0; i < 3; ++i) send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    EXPECT_EQ(agent.requests.size(), 1u);
    expect_drain_received(moved, std::chrono::milliseconds(3600));
}

}  // namespace
}  // namespace mothring::node::test
