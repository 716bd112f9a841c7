// Where two things meet between two lines of the program, in the order that the test forces: a peer holds a
// byte, a close or a connection until an event, then lets go.
#include <poll.h>

#include "held_server.hpp"

namespace mothring::node::test {
namespace {

struct Crossing : NetRig {
    // Connections may come up late; whether attempts that have begun may be withdrawn is the test's.
    void start_patient(const std::vector<ListedServer>& known, bool may_cancel = false, int window = 3000) {
        std::string text = config_json(agent.address(), list_json(41, true, known));
        text = replace_first(text, "\"connect-timeout-ms\":150.0", "\"connect-timeout-ms\":5000.0");
        if (!may_cancel) text = replace_first(text, "\"may-cancel\":true", "\"may-cancel\":false");
        text = replace_first(text, "\"dedup-window-ms\":3000.0",
                             "\"dedup-window-ms\":" + std::to_string(window));
        sidecar.emplace(io, config::read_config(text));
    }
    bool nothing_out() const { return sidecar->metrics().in_flight == 0; }
};

// Settings may forbid to withdraw an attempt. One that has not begun must not begin after its client has
// left.
TEST_F(Crossing, NothingIsSentOnAConnectionThatComesUpAfterItsClientHasLeft) {
    HeldServer held(io);
    start_patient({{"s-held", held.address()}});
    TestClient& c = client();
    c.send(request("deposit", "id-left"));
    until([&] { return sidecar->request_count() == 1; });
    c.close();
    until([&] { return nothing_out(); });
    held.release();
    EXPECT_EQ(send_and_wait(request("deposit", "id-stays")).body(), "held");
    EXPECT_EQ(held.received.find("id-left"), std::string::npos) << held.received;
    EXPECT_EQ(sidecar->request_count(), 0u);
    EXPECT_EQ(sidecar->gauges().requests, 0u);
}

// The list is looked at once more when the connection is up.
TEST_F(Crossing, NothingIsSentOnAConnectionThatComesUpAfterItsServersDrainWasTold) {
    HeldServer held(io);
    start_patient({{"s-held", held.address()}});
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

// A repeat that servers are to drop has to reach them while they remember the key.
TEST_F(Crossing, NoRepeatIsSentOnAConnectionThatComesUpAfterTheWindow) {
    HeldServer held(io);
    a.script = silence;
    start_patient({{"s-a", a.address()}}, false, 700);  // the kernel asks for a connection again after 1 s
    until([&] { return is_watched_from("41"); });
    TestClient& c = client();
    c.send(request("annotate", "id-1"));
    until([&] { return a.requests.size() == 1; });
    send_list(list_json(42, false, {{"s-held", held.address()}}));
    until([&] { return is_watched_from("42"); });
    a.close();  // it may have run; the other server is chosen for the repeat, within the window
    for (int i = 0; i < 2; ++i) send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    held.release();
    until([&] { return c.answers.size() == 1 || c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_GE(c.answers[0].result_int(), 500u);
    EXPECT_EQ(held.accepted, 1u) << "it came up, after the window";
    EXPECT_EQ(held.received, "");
}

// A client's end stands behind bytes of its next request, which are not read while the first waits.
TEST_F(Crossing, AClientsEndBehindAnEarlyRequestIsSeenBeforeAnotherAttempt) {
    for (const std::size_t early :
         {std::size_t(1), std::size_t(40000)}) {  // in our buffer, or in the kernel's
        a.requests.clear(), b.requests.clear();
        sidecar.reset();
        start_patient({{"s-a", a.address()}, {"s-b", b.address()}}, true);
        a.script = b.script = silence;
        TestClient& c = client();
        c.send(request("listen", "id-1") + std::string(early, 'G'));
        until([&] { return server_request_count() == 1; });
        c.close();
        ScriptedServer& first = a.requests.empty() ? b : a;
        a.script = b.script = serve;
        first.send(first.connections.size() - 1, response("503 Full", "", "Not-Started: 1\r\n"));
        until([&] { return nothing_out(); });
        EXPECT_EQ(server_request_count(), 1u) << early;
        EXPECT_EQ(sidecar->request_count(), 0u);
        EXPECT_EQ(sidecar->gauges().requests, 0u);
    }
}

// In the very turn in which its answer comes, and many at once: nothing is left behind.
TEST_F(Crossing, ABurstOfClientsLeavesAsTheAnswersCome) {
    for (const bool reset : {false, true}) {
        sidecar.reset();
        a.connections.clear(), a.requests.clear();
        start_patient({{"s-a", a.address()}}, true);
        a.script = silence;
        std::vector<TestClient*> all;
        for (int i = 0; i < 100; ++i) {
            all.push_back(&client());
            all.back()->send(request("listen", "id-" + std::to_string(i)));
        }
        until([&] { return a.requests.size() == 100; });
        for (std::size_t i = 0; i < a.connections.size(); ++i) a.send(i, response("200 OK", "late"));
        for (TestClient* c : all) reset ? c->reset() : c->close();
        until([&] { return sidecar->request_count() == 0 && nothing_out(); });
        EXPECT_EQ(sidecar->gauges().requests, 0u);
        a.script = serve;
        EXPECT_EQ(send_and_wait(request("listen", "id-last")).body(), "served");
    }
}

// ---- Shutdown ----

struct Leaving : Crossing {
    using Steady = std::chrono::steady_clock;
    bool done = false;
    // With no deadline over `longest` ms.
    void start_short(int longest, const std::string& sockets = "1024") {
        const std::string text =
            config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}}), sockets);
        const std::string deadline = ",\"give-up-ms\":" + std::to_string(longest) + ".0,\"credit\":3.0";
        sidecar.emplace(io, config::read_config(replace_first(text, ",\"credit\":3.0", deadline)));
    }
    void drain() {
        sidecar->drain([&] { done = true; });
    }
    // The connection after its end was seen: what is written into it now.
    static int error_after_writing(net::Tcp::socket& socket, const std::string& bytes) {
        error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        int pending = 0;
        socklen_t size = sizeof pending;
        ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size);
        return error ? error.value() : pending;
    }
    // One that has been served and rests.
    net::Tcp::socket rested() {
        net::Tcp::socket socket(io);
        socket.connect(sidecar->address());
        asio::write(socket, asio::buffer(request("listen", "id-" + std::to_string(++requests_sent))));
        until([&] { return socket.available() > 0; });
        return socket;
    }
    // Its answer, still unread, then its end.
    void expect_an_ordered_end(net::Tcp::socket& socket) {
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

// A request crosses the close of a resting connection: our end goes first and is not a reset, which could
// take an unread answer along; what is read after it is not sent on.
TEST_F(Leaving, ARequestThatCrossesADrainsCloseMeetsAnOrderedEnd) {
    start_short(3000);
    net::Tcp::socket resting = rested();
    drain();
    expect_an_ordered_end(resting);
    until([&] { return done; });
    EXPECT_EQ(a.requests.size(), 1u);
}
TEST_F(Leaving, ARequestThatCrossesAClosingForRoomMeetsAnOrderedEnd) {
    start_short(3000, "28");  // eight for clients and servers
    net::Tcp::socket resting = rested();
    std::list<net::Tcp::socket> others;
    for (int i = 0; i < 3; ++i) others.push_back(rested());
    expect_an_ordered_end(resting);
    EXPECT_EQ(a.requests.size(), 4u);
}

// What deadlines settings allow, not 3 s, tells when a process may be killed after SIGTERM: by then what
// still came has its answer, and what never came whole is told so.
TEST_F(Leaving, WhatStillComesIsAnsweredBeforeTheProcessMayBeKilled) {
    start_short(300);
    a.script = silence;
    TestClient &head = client(), &body = client(), &late = client(), &resting = client();
    head.send("GET /listen HTTP/1.1\r\nHo");
    const std::string deposit = request("deposit", "id-body", 300, "a body");
    body.send(deposit.substr(0, deposit.size() - 2));
    const std::string whole = request("listen", "id-late", 5000);
    late.send(whole.substr(0, whole.size() - 2));
    send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    const auto began = Steady::now();
    drain();
    until([&] { return resting.ended; });  // nothing new is accepted from here on
    late.send(whole.substr(whole.size() - 2));
    until([&] { return head.ended && body.ended && late.ended; });
    EXPECT_LE(Steady::now() - began, std::chrono::milliseconds(300 + 700));
    until([&] { return done; });
    ASSERT_EQ(head.answers.size(), 1u);
    EXPECT_EQ(head.answers[0].result_int(), 503u);
    ASSERT_EQ(body.answers.size(), 1u);
    EXPECT_EQ(body.answers[0].result_int(), 503u);
    ASSERT_EQ(late.answers.size(), 1u);
    EXPECT_EQ(late.answers[0].result_int(), 503u) << "it may be tried anew";
}

// The last byte of a request is there in the very turn of the last call: the loop stands still until both are
// due.
TEST_F(Leaving, ARequestWholeInTheTurnOfTheLastCallIsAnswered) {
    start_short(300);
    TestClient& c = client();
    const std::string whole = request("listen", "id-1", 300);
    c.send(whole.substr(0, whole.size() - 2));
    send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    TestClient& resting = client();
    const auto began = Steady::now();
    drain();
    until([&] { return resting.ended; });
    while (Steady::now() < began + std::chrono::milliseconds(700)) {
    }
    c.send(whole.substr(whole.size() - 2));
    until([&] { return done && c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].result_int(), 200u);
}

// Half read, half passed on, and half come: none is cut off, and the end waits for them.
TEST_F(Leaving, BodiesOnTheirWayAreFinished) {
    start_short(3000);
    a.script = [&](const auto& r) {
        return r["Request-Id"] == "id-down" ? Reply{"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n1234"}
                                            : Reply{response("200 OK", "up")};
    };
    TestClient &down = client(), &up = client();
    down.send(request("listen", "id-down"));
    until([&] { return a.requests.size() == 1; });
    const std::string deposit = request("deposit", "id-up", 3000, "a body");
    up.send(deposit.substr(0, deposit.size() - 2));
    TestClient& resting = client();
    send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    drain();
    until([&] { return resting.ended; });
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

// Connections that wait in the kernel's queue as the listener is to close, with no descriptor to take them
// with.
TEST_F(Leaving, WhatWaitsInTheQueueIsTakenBeforeTheListenerCloses) {
    start_short(3000);
    net::Tcp::socket resting = rested();
    // Nothing is under way while there are no descriptors: a sanitizer's checks of types need some.
    until([&] { return nothing_out(); });
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

struct Asking : Crossing {
    using Steady = std::chrono::steady_clock;
    std::uint64_t calls() const { return sidecar->metrics().list.calls; }
    void start_asking() { start_asking({{"s-a", a.address()}}); }
    void start_asking(const std::vector<ListedServer>& known) {
        const std::string text = config_json(agent.address(), list_json(41, true, known));
        sidecar.emplace(io, config::read_config(replace_first(text, "\"pushed\"", "\"on_request\"")));
    }
    // The longest from one call to the next, over as many.
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
    // Discovery can be reached again, and a server has been leaving for some time.
    void expect_drain_told(ScriptedServer& discovery, Steady::duration within) {
        const auto reachable = Steady::now();
        bool told = false;
        discovery.script = [&](const auto&) {
            if (std::exchange(told, true)) return Reply{};
            return Reply{response(
                "200 OK", list_json(42, true, {{"s-a", a.address(), "Terminating"}, {"s-b", b.address()}}))};
        };
        until([&] { return sidecar->metrics().list.version == 42; });
        EXPECT_LE(Steady::now() - reachable, within);
        EXPECT_EQ(send_and_wait(request("listen", "id-1")).result_int(), 200u);
        EXPECT_EQ(a.requests.size(), 0u);
    }
};

// Whatever failed before: a change counts as told 6 s after discovery had it and could be reached. A call may
// begin right before that, hang for 2 s, be followed after 1.5 s at most, and the next needs its turn.
TEST_F(Asking, ADrainIsKnownInTimeAfterFailuresOfAnyKind) {
    for (const Reply& reply :
         {Reply{response("503 Busy")}, Reply{"", false, true}, Reply{"", true}, Reply{"HTTP/1.1 200 O", true},
          Reply{response("200 OK", "{\"version\":99,\"full\":true,\"servers\":[{\"id\":")}}) {
        sidecar.reset();
        agent.script = [&](const auto&) { return reply; };
        start_asking();
        EXPECT_LE(longest_gap(6), std::chrono::milliseconds(1600)) << reply.bytes;
        expect_drain_told(agent, std::chrono::milliseconds(1600));
    }
}
TEST_F(Asking, ADrainIsKnownInTimeAfterCallsThatWereRefused) {
    agent.close();
    start_asking();
    EXPECT_LE(longest_gap(6), std::chrono::milliseconds(1600));
    ScriptedServer back(io, silence, agent.endpoint());
    expect_drain_told(back, std::chrono::milliseconds(1600));
}
TEST_F(Asking, ADrainIsKnownInTimeAfterCallsThatHung) {
    start_asking();
    EXPECT_LE(longest_gap(3), std::chrono::milliseconds(3600));
    expect_drain_told(agent, std::chrono::milliseconds(3600));
}

// Discovery turns every call away. Meanwhile a server goes, and another comes up in its place that answers:
// of either nobody has told, so that past the bound it may be one that was gone and came back, and each
// request sent to it one too many. The others are known to take new work.
TEST_F(Asking, ServerGoneAndBackWhileTurnedAway_pastBound_getsNothingUntilListed) {
    agent.script = [](const auto&) { return Reply{response("503 Busy", "too many calls")}; };
    start_asking({{"s-a", a.address()}, {"s-b", b.address()}});
    const auto bound = Steady::now() + std::chrono::milliseconds(6000);
    int next = 0;
    const auto serve_until = [&](const std::function<bool()>& reached) {
        while (!reached() && !HasFailure())
            EXPECT_EQ(send_and_wait(request("listen", "id-" + std::to_string(next++))).result_int(), 200u);
    };
    serve_until([&] { return a.requests.size() >= 10 && b.requests.size() >= 10; });
    // Its process ends under a request, and the next one answers at once.
    bool killed = false;
    a.script = [&](const auto& r) { return std::exchange(killed, true) ? serve(r) : Reply{"", false, true}; };
    serve_until([&] { return killed; });
    const std::size_t after_return = a.requests.size();
    serve_until([&] { return Steady::now() >= bound; });
    EXPECT_GT(a.requests.size(), after_return) << "within the bound it is as listed";
    // The clock of the bound is the sidecar's: it began with its first call.
    serve_until([&] { return Steady::now() >= bound + std::chrono::milliseconds(200); });
    const std::size_t before = a.requests.size();
    for (int i = 0; i < 50; ++i) serve_until([&, from = next] { return next > from; });
    EXPECT_EQ(a.requests.size(), before);
    // Told of it at last, it is used again.
    bool told = false;
    agent.script = [&](const auto&) {
        if (std::exchange(told, true)) return Reply{};
        return Reply{response("200 OK", list_json(42, true, {{"s-a", a.address()}, {"s-b", b.address()}}))};
    };
    until([&] { return sidecar->metrics().list.version == 42; });
    serve_until([&] { return a.requests.size() > before; });
}

// The same, with nobody else: whoever is listed is better than none.
TEST_F(Asking, OnlyServerGoneAndBackWhileTurnedAway_pastBound_stillServes) {
    agent.script = [](const auto&) { return Reply{response("503 Busy")}; };
    start_asking();
    const auto bound = Steady::now() + std::chrono::milliseconds(6200);
    bool killed = false;
    a.script = [&](const auto& r) { return std::exchange(killed, true) ? serve(r) : Reply{"", false, true}; };
    send_and_wait(request("listen", "id-killed"));
    until([&] { return Steady::now() >= bound; });
    EXPECT_EQ(send_and_wait(request("listen", "id-served")).result_int(), 200u);
}

// Silent once more right after it was begun anew: the next call comes in time still.
TEST_F(Asking, AWatchSilentTwiceIsBegunAThirdTimeInTime) {
    start_asking();
    until([&] { return calls() == 1; });
    const auto silent = Steady::now();
    until([&] { return calls() == 3; });
    EXPECT_LE(Steady::now() - silent, std::chrono::milliseconds(5000));
    expect_drain_told(agent, std::chrono::milliseconds(3600));
}

// SIGHUP while a call is out, while one that is late has another beside it, and while the next is waited for;
// two in a row. The old address answers after the new one was asked, with a version of its own that is
// higher.
TEST_F(Asking, AMoveInTheMidstOfACallLeavesTheOldAddressUnheard) {
    const std::string wrong = response("200 OK", list_json(99, true, {{"s-a", a.address(), "Terminating"}}));
    for (const int calls_before : {1, 2}) {
        sidecar.reset();
        ScriptedServer old(io, silence), between(io, silence), moved(io, silence);
        const auto config = [&](const ScriptedServer& at) {
            return config::read_config(
                replace_first(config_json(at.address(), list_json(41, true, {{"s-a", a.address()}})),
                              "\"pushed\"", "\"on_request\""));
        };
        sidecar.emplace(io, config(old));
        until([&] { return old.requests.size() == static_cast<std::size_t>(calls_before); });
        sidecar->reconfigure(config(between));
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
TEST_F(Asking, AMoveWhileTheNextCallIsWaitedForAsksTheNewAddressAtOnce) {
    agent.script = [](const auto&) { return Reply{response("503 Busy")}; };
    start_asking();
    until([&] { return agent.requests.size() == 1 && sidecar->metrics().list.failing; });
    ScriptedServer moved(io, silence);
    sidecar->reconfigure(config::read_config(replace_first(
        config_json(moved.address(), list_json(41, true, {})), "\"pushed\"", "\"on_request\"")));
    until([&] { return moved.requests.size() == 1; });
    for (int i = 0; i < 3; ++i) send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    EXPECT_EQ(agent.requests.size(), 1u);
    expect_drain_told(moved, std::chrono::milliseconds(3600));
}

}  // namespace
}  // namespace mothring::node::test
