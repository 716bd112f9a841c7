// The complete sidecar over loopback sockets, with scripted clients, servers and discovery.

#include "net_rig.hpp"

namespace mothring::node::test {
namespace {

using SidecarOverSockets = NetRig;
const std::string not_started = response("503 Full", "", "Not-Started: 1\r\n");

TEST_F(SidecarOverSockets, ForwardsRequestAndResponse) {
    start_with_a();
    a.script = [](const auto&) { return Reply{response("200 OK", "a song", "Content-Type: audio/x\r\n")}; };
    const auto answer = send_and_wait(request("annotate", "id-1", 5000, "a note"));
    EXPECT_EQ(answer.result_int(), 200u);
    EXPECT_EQ(answer.body(), "a song");
    EXPECT_EQ(answer["Content-Type"], "audio/x");
    ASSERT_EQ(a.requests.size(), 1u);
    const auto& seen = a.requests[0];
    EXPECT_EQ(seen.method(), http::verb::post);
    EXPECT_EQ(seen.target(), "/annotate/item?part=2");
    EXPECT_EQ(seen.body(), "a note");
    EXPECT_EQ(seen["Request-Id"], "id-1");
    EXPECT_EQ(seen["Idempotency-Key"], "key-id-1");
    EXPECT_GT(std::stoi(std::string(seen["Request-Timeout-Ms"])), 0);
    EXPECT_LE(std::stoi(std::string(seen["Request-Timeout-Ms"])), 5000);
    EXPECT_EQ(sidecar->request_count(), 0u);
    EXPECT_EQ(sidecar->gauges().requests, 0u);
}

// Guards against a sidecar that is not ready because discovery never answers.
TEST_F(SidecarOverSockets, IsReadyWhileDiscoveryIsSilent) {
    start();
    EXPECT_EQ(send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").result_int(), 200u);
}

TEST_F(SidecarOverSockets, ReusesUpstreamConnection) {
    start_with_a();
    TestClient& c = client();
    for (std::size_t i = 1; i <= 3; ++i) {
        c.send(request("listen", "id-" + std::to_string(i)));
        until([&] { return c.answers.size() == i; });
        wait_for_connection_reuse(io);
    }
    EXPECT_FALSE(c.ended);
    EXPECT_EQ(a.connections.size(), 1u);
}

// A request that is sent before the response to the previous one waits for that response. Guards against
// taking its bytes for the client's disconnection.
TEST_F(SidecarOverSockets, PipelinedRequestWaitsForPreviousResponse) {
    start_with_a();
    TestClient& c = client();
    c.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    c.send(request("listen", "id-2"));
    until([&] { return c.answers.size() == 2; });
    EXPECT_EQ(a.requests.size(), 2u);
}

// The platform requires that a request that may have run and is not idempotent is neither sent again nor
// reported as rejected.
TEST_F(SidecarOverSockets, NonIdempotentRequestThatMayHaveRunFails) {
    for (const Reply& reply : {Reply{response("500 Oops")}, Reply{response("503 Full")}, Reply{"", true}}) {
        start();
        a.script = b.script = [&](const auto&) { return reply; };
        const std::size_t before = server_request_count();
        const auto answer = send_and_wait(request("deposit", "id-" + std::to_string(before)));
        EXPECT_EQ(server_request_count(), before + 1);
        EXPECT_EQ(answer.result_int() / 100, 5u);
        EXPECT_NE(answer.result_int(), 503u);
        sidecar.reset();
    }
}

TEST_F(SidecarOverSockets, NonIdempotentRequestThatDidNotRunIsRetried) {
    start();
    a.script = b.script = [this](const auto&) {
        return Reply{server_request_count() == 1 ? not_started : response("200 OK", "filed")};
    };
    EXPECT_EQ(send_and_wait(request("deposit", "id-1")).body(), "filed");
    EXPECT_EQ(server_request_count(), 2u);
    EXPECT_NE(a.requests.size(), b.requests.size() + 2);
}

// Rejected attempts are safe to retry. After at most four attempts the client gets a rejection.
TEST_F(SidecarOverSockets, RequestRejectedByAllServersIsRejected) {
    start();
    a.script = b.script = [](const auto&) { return Reply{not_started}; };
    EXPECT_EQ(send_and_wait(request("deposit", "id-1")).result_int(), 503u);
    EXPECT_LE(server_request_count(), 4u);
    EXPECT_GE(server_request_count(), 1u);
}

TEST_F(SidecarOverSockets, UnreachableServerLosesNoRequest) {
    b.close();
    start();
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(send_and_wait(request("deposit", "id-" + std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 8u);
}

// The platform requires one final answer by the deadline. A silent server costs one failure at the deadline,
// and nothing is sent to it afterwards.
TEST_F(SidecarOverSockets, SilentServerCausesOneFailureAtDeadline) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    c.send(request("deposit", "id-1", 60));
    until([&] { return !c.answers.empty(); });
    EXPECT_EQ(c.answers[0].result_int(), 504u);
    until([&] { return a.ended_count() == 1; });  // an attempt that times out closes its connection
    a.script = serve;
    c.send(request("deposit", "id-2"));
    until([&] { return c.answers.size() == 2; });
    EXPECT_EQ(c.answers[1].result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 2u);
    EXPECT_EQ(sidecar->request_count(), 0u);
}

TEST_F(SidecarOverSockets, ClientDisconnectCancelsItsAttempt) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    c.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    c.close();
    until([&] { return a.ended_count() == 1; });
    EXPECT_EQ(sidecar->request_count(), 0u);
    EXPECT_EQ(sidecar->gauges().requests, 0u);
}

// The platform requires that a draining server receives no new requests.
TEST_F(SidecarOverSockets, DrainingServerReceivesNoNewRequests) {
    start();
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return is_watched_from("42"); });
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(send_and_wait(request("listen", "id-" + std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 0u);
}

TEST_F(SidecarOverSockets, RemovedServerReceivesNoRequests) {
    start();
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, false, {{"s-a", a.address(), "Gone"}}));
    until([&] { return is_watched_from("42"); });
    EXPECT_EQ(send_and_wait(request("listen", "id-1")).result_int(), 200u);
    EXPECT_EQ(b.requests.size(), 1u);
    send_list(list_json(50, true, {{"s-a", a.address()}}));
    until([&] { return is_watched_from("50"); });
    EXPECT_EQ(send_and_wait(request("listen", "id-2")).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 1u);
    EXPECT_EQ(b.requests.size(), 1u);
}

TEST_F(SidecarOverSockets, MovedServerIsUsedAtItsNewAddress) {
    start_with_a();
    EXPECT_EQ(send_and_wait(request("listen", "id-1")).result_int(), 200u);
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, false, {{"s-a", b.address()}}));
    until([&] { return is_watched_from("42"); });
    EXPECT_EQ(send_and_wait(request("listen", "id-2")).result_int(), 200u);
    EXPECT_EQ(b.requests.size(), 1u);
}

// A watch that ends, with or without a malformed response, is followed by another from the current version.
TEST_F(SidecarOverSockets, LostWatchIsRestarted) {
    start();
    for (const Reply& reply :
         {Reply{"", true}, Reply{"no HTTP\r\n\r\n", true}, Reply{response("503 Busy")},
          Reply{response("200 OK", "{\"version\":99,\"full\":true")},
          Reply{response("200 OK", "{\"version\":99,\"full\":true,\"servers\":[{}]}")}}) {
        const std::size_t before = agent.requests.size();
        bool has_replied = false;
        agent.script = [&](const auto&) { return std::exchange(has_replied, true) ? Reply{} : reply; };
        if (before > 0) agent.connections.back()->socket.close();
        until([&] { return agent.requests.size() >= before + 2 && is_watched_from("41"); });
        agent.script = silence;
    }
    send_list(list_json(42, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return is_watched_from("42"); });
}

// A watch that becomes silent right after its call misses drains, which count as notified 6 s later. The
// sidecar must start a second watch early enough for discovery to handle the calls of a complete fleet one
// after another by then, and close the first watch once the second is answered.
TEST_F(SidecarOverSockets, SecondWatchStartsInTimeAlongsideSilentOne) {
    start();
    until([&] { return agent.requests.size() == 1; });
    const auto called = std::chrono::steady_clock::now();
    until([&] { return agent.requests.size() == 2; });
    EXPECT_LE(std::chrono::steady_clock::now() - called, std::chrono::milliseconds(3000));
    EXPECT_EQ(agent.connections.size(), 2u);
    EXPECT_EQ(agent.ended_count(), 0u) << "the first watch may only be slow";
    send_list(list_json(42, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return is_watched_from("42") && agent.ended_count() == 1; });
    EXPECT_EQ(agent.connections.size(), 2u);
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(send_and_wait(request("listen", std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 0u);
}

TEST_F(SidecarOverSockets, SlowWatchContinues) {
    start();
    until([&] { return agent.requests.size() == 2; });
    agent.send(0, response("200 OK", list_json(42, false, {{"s-a", a.address(), "Terminating"}})));
    until([&] { return is_watched_from("42") && agent.ended_count() == 1; });
    EXPECT_EQ(agent.connections[0]->requests, 2u);
    EXPECT_TRUE(agent.connections[1]->ended);
}

// An update older than the current version is ignored and the full list requested. That list is accepted
// whatever its version.
TEST_F(SidecarOverSockets, OlderListIsIgnoredUnlessItIsFull) {
    start();
    until([&] { return is_watched_from("41"); });
    send_list(
        list_json(30, false, {{"s-a", a.address(), "Terminating"}, {"s-b", b.address(), "Terminating"}}));
    until([&] { return agent.requests.back().target() == "/catalog/members"; });
    EXPECT_EQ(send_and_wait(request("listen", "id-1")).result_int(), 200u);
    send_list(list_json(30, true, {{"s-b", b.address()}}));
    until([&] { return is_watched_from("30"); });
    const std::size_t before = a.requests.size();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(send_and_wait(request("listen", std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), before);
}

// Some hundreds of servers are usual. 1,024 servers must be handled as a full list and as an update, within
// the smallest limits of a deployment.
TEST_F(SidecarOverSockets, HandlesThousandServersInFullListAndUpdate) {
    std::vector<ListedServer> many{{"s-b", b.address()}};
    for (int i = 0; i < 1023; ++i) many.push_back({"s-" + std::to_string(i), a.address()});
    start({{"s-b", b.address()}}, "256");
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, true, many));
    until([&] { return is_watched_from("42") && sidecar->metrics().servers_listed == 1024; });
    for (int i = 0; i < 300; ++i)
        EXPECT_EQ(send_and_wait(request("listen", std::to_string(i))).result_int(), 200u);
    EXPECT_GT(a.requests.size(), 200u);
    // Every server has its own connections, and idle ones are closed to free capacity for others.
    EXPECT_LE(a.connections.size() - a.ended_count() + b.connections.size() - b.ended_count(),
              (256u - 24u) / 2);
    for (ListedServer& server : many)
        if (server.id != "s-b") server.state = "Terminating";
    send_list(list_json(43, false, many));
    until([&] { return is_watched_from("43"); });
    const std::size_t before = a.requests.size();
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(send_and_wait(request("listen", "b-" + std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), before);
    EXPECT_EQ(sidecar->metrics().servers_unavailable, 1023u);
}

// After SIGHUP the sidecar watches the new address from the current version and closes the watch at the old
// one.
TEST_F(SidecarOverSockets, WatchMovesToNewDiscoveryAddress) {
    ScriptedServer moved(io, silence);
    start();
    until([&] { return is_watched_from("41"); });
    config::Config config = config::read_config(config_json(moved.address(), list_json(41, true, {})));
    sidecar->reconfigure(config);
    until([&] { return moved.requests.size() == 1 && agent.ended_count() == 1; });
    EXPECT_NE(moved.requests[0].target().find("from=41&"), boost::beast::string_view::npos);
    moved.send(0, response("200 OK", list_json(42, false, {{"s-a", a.address(), "Terminating"}})));
    until([&] { return moved.requests.size() == 2; });
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(send_and_wait(request("listen", std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 0u);
    sidecar->reconfigure(config);  // no change, so the watch stays open
    EXPECT_EQ(send_and_wait(request("listen", "last")).result_int(), 200u);
    EXPECT_EQ(moved.ended_count(), 0u);
    EXPECT_EQ(agent.requests.size(), 1u);
}

// If lists are polled, the content of the new address counts as notified 4 s after the signal. A sidecar that
// this address rejects as busy must retry within that time, not at the slower rate used for other failures.
TEST_F(SidecarOverSockets, RetriesBusyDiscoveryInTimeAfterMove) {
    ScriptedServer moved(io, [](const auto&) { return Reply{response("503 Busy")}; });
    const auto config = [&](const std::string& discovery) {
        std::string text = config_json(discovery, list_json(41, true, {{"s-a", a.address()}}));
        const std::string pushed = "\"pushed\"";
        return config::read_config(text.replace(text.find(pushed), pushed.size(), "\"on_request\""));
    };
    sidecar.emplace(io, config(agent.address()));
    until([&] { return is_watched_from("41"); });
    const auto signal = std::chrono::steady_clock::now();
    sidecar->reconfigure(config(moved.address()));
    until([&] { return moved.requests.size() == 8; });
    EXPECT_LE(std::chrono::steady_clock::now() - signal, std::chrono::milliseconds(4000));
}

TEST_F(SidecarOverSockets, MalformedRequestsAreRejectedAndClosedWithoutServers) {
    start();
    const std::string head = "GET /listen HTTP/1.1\r\nHost: app.svc\r\n";
    for (const std::string& bad :
         {std::string("nonsense\r\n\r\n"), head + "Request-Timeout-Ms: 100\r\n\r\n",
          head + "Request-Id: x\r\n\r\n", head + "Request-Id: x\r\nRequest-Timeout-Ms: soon\r\n\r\n",
          head + "Request-Id: x\r\nRequest-Timeout-Ms: -5\r\n\r\n",
          head + "X: " + std::string(20000, 'x') + "\r\n\r\n"}) {
        TestClient& c = client();
        c.send(bad);
        until([&] { return c.ended; });
        ASSERT_EQ(c.answers.size(), 1u) << bad.substr(0, 60);
        EXPECT_EQ(c.answers[0].result_int(), 400u);
        EXPECT_FALSE(c.answers[0].keep_alive());
    }
    EXPECT_EQ(server_request_count(), 0u);
    EXPECT_EQ(send_and_wait(request("listen", "id-1")).result_int(), 200u);
}

// Guards against a fault in which a flood of requests of unconfigured classes was sent to servers that could
// not process them, and used up the shares of the tenants that they named.
TEST_F(SidecarOverSockets, UnknownClassOrWrongFormIsRejectedWithoutServers) {
    start();
    const auto changed = [](std::string text, const std::string& what, const std::string& by) {
        return text.replace(text.find(what), what.size(), by);
    };
    EXPECT_EQ(send_and_wait(request("bequest", "id-1")).result_int(), 404u);
    const std::string fetch = request("listen", "id-2"), note = request("annotate", "id-3");
    for (const std::string& bad :
         {changed(fetch, "GET /", "PUT /"), changed(note, "POST /", "GET /"),
          changed(note, "Idempotency-Key", "Another-Key"), changed(fetch, "GET /listen", "GET /deposit"),
          changed(fetch, "\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi"),
          changed(fetch, "Host:", "Request-Id: id-9\r\nHost:"),
          changed(request("deposit", "id-4"), "Host:", "Idempotency-Key: k\r\nHost:")})
        EXPECT_EQ(send_and_wait(bad).result_int(), 400u) << bad;
    EXPECT_EQ(server_request_count(), 0u);
    EXPECT_EQ(sidecar->gauges().requests, 0u);
    EXPECT_EQ(send_and_wait(fetch).result_int(), 200u);
    EXPECT_EQ(send_and_wait(note).result_int(), 200u);
}

// Guards against a fault in which requests that every server answers with 400 were sent to five servers each
// and counted as failures of all of them, until half of a healthy pool was ejected.
TEST_F(SidecarOverSockets, BadRequestResponseIsNotRetriedAndEjectsNoServer) {
    start();
    a.script = b.script = [](const auto& r) {
        return Reply{r["Request-Id"].starts_with("bad") ? response("400 Bad Request", "no such sheet")
                                                        : response("200 OK", "served")};
    };
    for (int i = 0; i < 40; ++i) {
        const auto answer = send_and_wait(request(i % 2 ? "listen" : "deposit", "bad-" + std::to_string(i)));
        EXPECT_EQ(answer.result_int(), 400u);
        EXPECT_EQ(answer.body(), "no such sheet");
    }
    EXPECT_EQ(server_request_count(), 40u) << "no request is sent twice";
    EXPECT_EQ(sidecar->request_count(), 0u);
    const std::size_t at_a = a.requests.size(), at_b = b.requests.size();
    for (int i = 0; i < 40; ++i)
        EXPECT_EQ(send_and_wait(request("listen", "id-" + std::to_string(i))).body(), "served");
    EXPECT_GT(a.requests.size(), at_a) << "neither server is ejected";
    EXPECT_GT(b.requests.size(), at_b);
}

// A client that sends nothing or only part of a request gets an error response or a close within 3 s, however
// slowly its bytes arrive. An idle connection that has served a request stays open.
TEST_F(SidecarOverSockets, ClientWithoutCompleteRequestIsDisconnectedInTime) {
    start_with_a();
    TestClient& kept = client();
    kept.send(request("listen", "id-1"));
    until([&] { return kept.answers.size() == 1; });
    const auto began = std::chrono::steady_clock::now();
    TestClient &silent = client(), &partial = client(), &body = client();
    partial.send("GET /listen HTT");
    const std::string message = request("deposit", "id-2", 5000, "a body");
    body.send(message.substr(0, message.size() - 2));
    until([&] { return silent.ended && partial.ended && body.ended; });
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(4500));
    EXPECT_FALSE(kept.ended);
    kept.send(request("listen", "id-3"));
    until([&] { return kept.answers.size() == 2; });
    EXPECT_EQ(a.requests.size(), 2u);
}

// After SIGTERM the sidecar completes the requests in flight, answers those that still arrive, closes each
// connection after its response and then reports the drain as complete.
TEST_F(SidecarOverSockets, DrainCompletesRequestsInFlightAndNewOnes) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    TestClient& idle = client();
    c.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    bool done = false;
    sidecar->drain([&] { done = true; });
    a.script = serve;
    const auto late = send_and_wait(request("listen", "id-2"));
    EXPECT_EQ(late.result_int(), 200u);
    EXPECT_FALSE(late.keep_alive());
    until([&] { return idle.ended; });
    EXPECT_FALSE(done);
    EXPECT_TRUE(c.answers.empty());
    a.send(0, response("200 OK", "held"));
    until([&] { return done; });
    until([&] { return c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].body(), "held");
    EXPECT_FALSE(c.answers[0].keep_alive());
}

// A drain closes connections without a request after 3.5 s. A request accepted before that may have a later
// deadline and must be answered first.
TEST_F(SidecarOverSockets, DrainKeepsConnectionsThatAwaitResponse) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    c.send(request("deposit", "id-1", 3800));
    until([&] { return a.requests.size() == 1; });
    bool done = false;
    sidecar->drain([&] { done = true; });
    until([&] { return done || !c.answers.empty(); });
    EXPECT_FALSE(done);
    until([&] { return done; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].result_int(), 504u);
}

// At the connection limit the longest idle client is evicted, and never one that waits for its response.
TEST_F(SidecarOverSockets, EvictsIdleClientsAtConnectionLimit) {
    start({{"s-a", a.address()}}, "28");  // of which eight are for client and server connections
    a.script = silence;
    TestClient& waiting = client();
    waiting.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").result_int(), 200u);
    EXPECT_FALSE(waiting.ended);
    a.send(0, response("200 OK"));
    until([&] { return waiting.answers.size() == 1; });
}

// Without free descriptors the sidecar pauses accepting and resumes once some are free. Guards against a busy
// loop and against accepting that never resumes.
TEST_F(SidecarOverSockets, ResumesAcceptingAfterDescriptorExhaustion) {
    start_with_a();
    TestClient& c = client();
    c.send(request("listen", "id-1"));
    until([&] { return c.answers.size() == 1; });
    TestClient& waiting = client();  // in the backlog
    std::optional<DescriptorExhaustion> no_descriptors(std::in_place);
    waiting.send(request("listen", "id-2"));
    for (int turns = 0; turns < 20; ++turns) io.run_one_for(std::chrono::milliseconds(10));
    c.send(request("listen", "id-3"));  // an existing connection is still served
    until([&] { return c.answers.size() == 2; });
    EXPECT_TRUE(waiting.answers.empty());
    no_descriptors.reset();
    until([&] { return waiting.answers.size() == 1; });
}

// Sends many requests at once to two servers of which one fails. Each request must get exactly one response.
TEST_F(SidecarOverSockets, EachRequestGetsExactlyOneResponse) {
    start();
    int turn = 0;
    a.script = [&](const auto&) {
        const std::vector<Reply> replies{{response("200 OK", "served")},
                                         {not_started},
                                         {"", true},
                                         {response("500 Oops")},
                                         {},
                                         {"HTTP/1.1 2"}};
        return replies[static_cast<std::size_t>(turn++) % replies.size()];
    };
    std::vector<TestClient*> all;
    for (int i = 0; i < 60; ++i) {
        all.push_back(&client());
        all.back()->send(request(i % 3 == 0   ? "listen"
                                 : i % 3 == 1 ? "deposit"
                                              : "annotate",
                                 "id-" + std::to_string(i), 150));
    }
    until([&] {
        return std::all_of(all.begin(), all.end(), [](TestClient* c) { return !c->answers.empty(); });
    });
    until([&] { return sidecar->request_count() == 0; });
    const auto after = send_and_wait(request("listen", "last"));
    EXPECT_NE(after.result_int(), 0u);
    for (TestClient* c : all) {
        EXPECT_EQ(c->answers.size(), 1u);
        EXPECT_FALSE(c->ended);
    }
    std::map<std::string, int> non_idempotent;
    for (const auto* server : {&a, &b})
        for (const auto& r : server->requests)
            if (r["Request-Class"] == "deposit") ++non_idempotent[std::string(r["Request-Id"])];
    for (const auto& [id, count] : non_idempotent) EXPECT_LE(count, 4) << id;
    EXPECT_EQ(sidecar->gauges().requests, 0u);
}

TEST(Peers, IgnoresStrangersAndOversizeMessages) {
    asio::io_context io;
    const net::Udp::endpoint any(asio::ip::address_v4::loopback(), 0);
    net::Udp::socket one(io, any), stranger(io, any);
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> got;
    Peers two(
        io, any, {one.local_endpoint()}, std::nullopt,
        [&](std::uint32_t from, const std::vector<std::uint8_t>& bytes) { got.emplace_back(from, bytes); });
    stranger.send_to(asio::buffer("hello", 5), two.address());
    one.send_to(asio::buffer(std::string(257, 'x')), two.address());
    one.send_to(asio::buffer(std::string(256, 'x')), two.address());
    run_until(io, [&] { return !got.empty(); });
    EXPECT_EQ(got[0].first, 0u);
    EXPECT_EQ(got[0].second.size(), 256u);
    two.send(0, std::vector<std::uint8_t>(257));
    two.send(5, {1});
    two.send(std::nullopt, {1});
    two.send(0, {7, 8});
    std::array<char, 300> buffer{};
    EXPECT_EQ(one.receive(asio::buffer(buffer)), 2u);  // the earlier message was too long and was not sent
}

}  // namespace
}  // namespace mothring::node::test
