// What time an attempt tells its server that is left, and that none begins once its client has gone.
#include "held_server.hpp"

namespace mothring::node::test {
namespace {

using Steady = std::chrono::steady_clock;

// By how much what a server is told may be over what is left to the client (the terms).
constexpr Millis kSlack = 150;

Millis since(Steady::time_point began) { return net::millis(Steady::now() - began); }

struct Deadline : NetRig {
    // Connections may come up late.
    void start_patient(const std::vector<ListedServer>& known) {
        const std::string text = config_json(agent.address(), list_json(41, true, known));
        sidecar.emplace(io, config::read_config(replace_first(text, "\"connect-timeout-ms\":150.0",
                                                              "\"connect-timeout-ms\":5000.0")));
    }
    void start_anew_with_silent_a() {
        sidecar.reset();
        a.requests.clear(), a.connections.clear();
        a.script = silence;
        start_with_a();
    }
    // What the first message in these bytes tells; none yet: -1.
    static Millis told(const std::string& bytes) {
        const std::string name = "Request-Timeout-Ms: ";
        const auto at = bytes.find(name);
        return at == std::string::npos ? -1 : std::stod(bytes.substr(at + name.size(), 8));
    }
    static Millis told(const ScriptedServer::Request& request) {
        return std::stod(std::string(request["Request-Timeout-Ms"]));
    }
    // Of a request with that timeout, sent whole then, whose first byte has come to the server just now.
    static void expect_within(Millis told, Millis timeout, Steady::time_point sent) {
        EXPECT_GE(told, 1);
        EXPECT_LE(told, timeout - since(sent) + kSlack);
    }
    void expect_late_and_within(HeldServer& held, Millis timeout, Steady::time_point sent) {
        held.release();
        until([&] { return told(held.received) >= 0; });
        EXPECT_GT(since(sent), 2 * kSlack) << "its connection came up late";
        expect_within(told(held.received), timeout, sent);
    }
};

TEST_F(Deadline, AFirstAttemptTellsWhatIsLeftWhenItsConnectionHasComeUp) {
    HeldServer held(io);
    start_patient({{"s-held", held.address()}});
    const auto sent = Steady::now();
    client().send(request("deposit", "id-1", 5000, "a body"));
    until([&] { return sidecar->request_count() == 1; });
    expect_late_and_within(held, 5000, sent);
}

TEST_F(Deadline, ARetryTellsWhatIsLeftWhenItsConnectionHasComeUp) {
    HeldServer held(io);
    a.script = silence;
    start_patient({{"s-a", a.address()}});
    until([&] { return is_watched_from("41"); });
    const auto sent = Steady::now();
    client().send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    send_list(list_json(42, false, {{"s-held", held.address()}}));
    until([&] { return is_watched_from("42"); });
    a.send(0, response("503 Full", "", "Not-Started: 1\r\n"));
    for (int i = 0; i < 2; ++i) send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    expect_late_and_within(held, 5000, sent);
}

// What is under a millisecond can't be told.
TEST_F(Deadline, NothingBeginsWithLessThanAMillisecondLeft) {
    start_with_a();
    send_and_wait(request("listen", "id-warm"));
    for (int i = 0; i < 20; ++i) {
        const auto answer = send_and_wait(request("listen", "id-" + std::to_string(i), 1));
        EXPECT_GE(answer.result_int(), 500u);
    }
    EXPECT_EQ(a.requests.size(), 1u);
}

// The rest of an upload lies in the kernel while there is no room for it: its time has begun all the same.
TEST_F(Deadline, AnUploadTellsWhatIsLeftWhenItsRestHasWaitedForTheConnection) {
    HeldServer held(io);
    start_patient({{"s-held", held.address()}});
    const auto sent = Steady::now();
    client().send(request("deposit", "id-1", 5000, std::string(net::BodyBuffer::kMaxCapacity + 2000, 'x')));
    until([&] { return sidecar->request_count() == 1; });
    expect_late_and_within(held, 5000, sent);
}

// Sent at once with another, or while that one waits: read with it, or later.
TEST_F(Deadline, ARequestThatWaitedBehindAnotherTellsWhatIsLeft) {
    for (const bool at_once : {true, false}) {
        start_anew_with_silent_a();
        TestClient& c = client();
        const auto sent = Steady::now();
        const std::string first = request("listen", "id-1"), second = request("listen", "id-2", 2000);
        c.send(at_once ? first + second : first);
        until([&] { return a.requests.size() == 1; });
        if (!at_once) c.send(second);
        until([&] { return since(sent) > 4 * kSlack; });
        a.send(0, response("200 OK", "first"));
        until([&] { return a.requests.size() == 2; });
        expect_within(told(a.requests[1]), 2000, sent);
    }
}

// What waits is always there, but each request waits for a short time only.
TEST_F(Deadline, AClientThatSendsWithoutAPauseIsServedForLongerThanARequestMayWait) {
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

// What comes after another's answer has waited for nothing, whatever stood behind that one.
TEST_F(Deadline, ARequestAfterAnothersAnswerTellsItsWholeTime) {
    for (const std::string behind : {"", "\r\n", "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"}) {
        start_anew_with_silent_a();
        TestClient& c = client();
        const auto began = Steady::now();
        c.send(request("listen", "id-1") + behind);
        until([&] { return a.requests.size() == 1; });
        until([&] { return since(began) > 4 * kSlack; });
        a.send(0, response("200 OK", "first"));
        until([&] { return c.answers.size() == (behind.size() > 2 ? 2 : 1); });
        c.send(request("listen", "id-2", 2000));
        until([&] { return a.requests.size() == 2; });
        EXPECT_GE(told(a.requests[1]), 2000 - kSlack) << behind;
    }
}

// ---- Clients that have left ----

struct Departure : Deadline {
    // How a client leaves: with nothing behind its request, or with bytes before its end, which hide it from
    // whoever looks at the bytes alone.
    struct Way {
        std::string early;
        bool reset;
    };
    const std::vector<Way> ways{{"", false}, {"G", false}, {"", true}, {"G", true}};
    static void leave(TestClient& c, const Way& way) { way.reset ? c.reset() : c.close(); }
    void start_with(const std::vector<ListedServer>& known, bool may_cancel = true) {
        std::string text = config_json(agent.address(), list_json(41, true, known));
        // Requests that nobody may have are held for a sixteenth of that.
        text = replace_first(text, "\"on-time-ms\":400.0", "\"on-time-ms\":40000.0");
        if (!may_cancel) text = replace_first(text, "\"may-cancel\":true", "\"may-cancel\":false");
        sidecar.reset();
        a.requests.clear(), b.requests.clear(), agent.requests.clear();
        a.connections.clear(), b.connections.clear(), agent.connections.clear();
        sidecar.emplace(io, config::read_config(text));
    }
    void expect_nothing_left() {
        until([&] { return sidecar->request_count() == 0 && sidecar->metrics().in_flight == 0; });
        EXPECT_EQ(sidecar->gauges().requests, 0u);
    }
    // Until the sidecar has read all that has come by now.
    void pass() {
        for (int i = 0; i < 2; ++i) send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    }
};

// Its end is there in the very turn in which its request is read; the connection to the server is idle.
TEST_F(Departure, ARequestWithItsClientsEndBehindItIsNotBegun) {
    for (const Way& way : ways) {
        start_with({{"s-a", a.address()}});
        send_and_wait(request("listen", "id-warm"));
        wait_for_connection_reuse(io);
        TestClient& c = client();
        pass();
        c.send(request("listen", "id-1") + way.early);
        leave(c, way);
        pass();
        expect_nothing_left();
        EXPECT_EQ(a.requests.size(), 1u) << way.early << way.reset;
    }
}

// Held, as nobody may have it, and released in the turn in which its client leaves: by a list.
TEST_F(Departure, ARequestThatAListReleasesIsNotBegunAfterItsClientHasLeft) {
    for (const Way& way : ways) {
        start_with({{"s-a", a.address(), "Terminating"}});
        until([&] { return is_watched_from("41"); });
        TestClient& c = client();
        c.send(request("listen", "id-1") + way.early);
        until([&] { return sidecar->request_count() == 1; });
        pass();
        leave(c, way);
        send_list(list_json(42, false, {{"s-b", b.address()}}));
        until([&] { return is_watched_from("42"); });
        expect_nothing_left();
        EXPECT_EQ(server_request_count(), 0u) << way.early << way.reset;
        EXPECT_EQ(send_and_wait(request("listen", "id-2")).result_int(), 200u);
    }
}

// Due as the first attempt fails, in the turn in which its client leaves.
TEST_F(Departure, ARetryIsNotBegunAfterItsClientHasLeft) {
    for (const Way& way : ways) {
        a.script = b.script = silence;
        start_with({{"s-a", a.address()}, {"s-b", b.address()}});
        TestClient& c = client();
        c.send(request("listen", "id-1") + way.early);
        until([&] { return server_request_count() == 1; });
        pass();
        leave(c, way);
        ScriptedServer& first = a.requests.empty() ? b : a;
        first.send(first.connections.size() - 1, response("503 Full", "", "Not-Started: 1\r\n"));
        expect_nothing_left();
        pass();
        EXPECT_EQ(server_request_count(), 1u) << way.early << way.reset;
    }
}

// A hundred in one turn, each with a retry due in it.
TEST_F(Departure, ABurstOfClientsThatLeaveWithTheirRetriesDueBeginsNothing) {
    for (const Way& way : ways) {
        a.script = b.script = silence;
        start_with({{"s-a", a.address()}, {"s-b", b.address()}}, false);
        std::vector<TestClient*> all;
        for (int i = 0; i < 100; ++i) {
            all.push_back(&client());
            all.back()->send(request("listen", "id-" + std::to_string(i)) + way.early);
        }
        until([&] { return server_request_count() == 100; });
        pass();
        for (TestClient* c : all) leave(*c, way);
        for (ScriptedServer* s : {&a, &b})
            for (std::size_t i = 0; i < s->connections.size(); ++i)
                s->send(i, response("503 Full", "", "Not-Started: 1\r\n"));
        expect_nothing_left();
        pass();
        EXPECT_EQ(server_request_count(), 100u) << way.early << way.reset;
    }
}

// Begun in part, as its body is still coming: it never comes to its end, also where settings forbid to
// withdraw what a server may have begun to work on.
TEST_F(Departure, AnUploadThatBeganIsNotFinishedAfterItsClientHasLeft) {
    const std::string whole =
        request("deposit", "id-1", 5000, std::string(net::BodyBuffer::kMaxCapacity + 2000, 'x'));
    for (const bool finished : {false, true}) {  // its last byte comes, right before its client's end
        start_with({{"s-a", a.address()}}, false);
        TestClient& c = client();
        c.send(whole.substr(0, whole.size() - 10));
        until([&] { return a.connections.size() == 1 && a.connections[0]->parser->is_header_done(); });
        pass();
        if (finished) c.send(whole.substr(whole.size() - 10));
        c.close();
        expect_nothing_left();
        until([&] { return a.ended_count() == 1; });
        EXPECT_EQ(a.requests.size(), 0u) << finished;
    }
}

}  // namespace
}  // namespace mothring::node::test
