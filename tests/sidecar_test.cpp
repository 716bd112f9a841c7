// The whole sidecar over loopback sockets, between a scripted client, servers and discovery.

#include "net_rig.hpp"

namespace mothring::node::test {
namespace {

using Net = NetRig;
const std::string not_started = response("503 Full", "", "Not-Started: 1\r\n");

TEST_F(Net, ServesWhatAServerMade) {
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

// An agent that never answers must not keep the sidecar from being ready.
TEST_F(Net, IsReadyWithASilentAgent) {
    start();
    EXPECT_EQ(send_and_wait("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").result_int(), 200u);
}

TEST_F(Net, OneConnectionCarriesManyRequests) {
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

// Sent before the first is answered, the second waits its turn and is not taken for the client's end.
TEST_F(Net, AnEarlyNextRequestWaitsItsTurn) {
    start_with_a();
    TestClient& c = client();
    c.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    c.send(request("listen", "id-2"));
    until([&] { return c.answers.size() == 2; });
    EXPECT_EQ(a.requests.size(), 2u);
}

// Rule 2: what may have run is not sent again, nor refused.
TEST_F(Net, AnUnsafeRequestThatMayHaveRunFails) {
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

TEST_F(Net, AnUnsafeRequestThatNeverRanGoesElsewhere) {
    start();
    a.script = b.script = [this](const auto&) {
        return Reply{server_request_count() == 1 ? not_started : response("200 OK", "filed")};
    };
    EXPECT_EQ(send_and_wait(request("deposit", "id-1")).body(), "filed");
    EXPECT_EQ(server_request_count(), 2u);
    EXPECT_NE(a.requests.size(), b.requests.size() + 2);
}

// Refused, so harmless to try again: no more than four attempts, and the answer says so.
TEST_F(Net, WhatNobodyTakesIsRefused) {
    start();
    a.script = b.script = [](const auto&) { return Reply{not_started}; };
    EXPECT_EQ(send_and_wait(request("deposit", "id-1")).result_int(), 503u);
    EXPECT_LE(server_request_count(), 4u);
    EXPECT_GE(server_request_count(), 1u);
}

TEST_F(Net, AServerThatIsDownIsNoLoss) {
    b.close();
    start();
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(send_and_wait(request("deposit", "id-" + std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 8u);
}

// Rule 1 with a silent server: one failure at the deadline, and nothing after it.
TEST_F(Net, ASilentServerCostsOneFailureAtTheDeadline) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    c.send(request("deposit", "id-1", 60));
    until([&] { return !c.answers.empty(); });
    EXPECT_EQ(c.answers[0].result_int(), 504u);
    until([&] { return a.ended_count() == 1; });  // a try that ends by time closes its connection
    a.script = serve;
    c.send(request("deposit", "id-2"));
    until([&] { return c.answers.size() == 2; });
    EXPECT_EQ(c.answers[1].result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 2u);
    EXPECT_EQ(sidecar->request_count(), 0u);
}

TEST_F(Net, AClientThatLeavesIsForgottenWithItsAttempt) {
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

// Rule 3.
TEST_F(Net, ADrainingServerGetsNothingNew) {
    start();
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return is_watched_from("42"); });
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(send_and_wait(request("listen", "id-" + std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 0u);
}

TEST_F(Net, AServerThatIsGoneOrLeftOutOfAFullListGetsNothing) {
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

TEST_F(Net, AServerThatMovesIsMetAtItsNewAddress) {
    start_with_a();
    EXPECT_EQ(send_and_wait(request("listen", "id-1")).result_int(), 200u);
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, false, {{"s-a", b.address()}}));
    until([&] { return is_watched_from("42"); });
    EXPECT_EQ(send_and_wait(request("listen", "id-2")).result_int(), 200u);
    EXPECT_EQ(b.requests.size(), 1u);
}

// A watch that ends, garbled or not, is followed by another, from the version that is held.
TEST_F(Net, ALostWatchIsBegunAgain) {
    start();
    for (const Reply& reply :
         {Reply{"", true}, Reply{"no HTTP\r\n\r\n", true}, Reply{response("503 Busy")},
          Reply{response("200 OK", "{\"version\":99,\"full\":true")},
          Reply{response("200 OK", "{\"version\":99,\"full\":true,\"servers\":[{}]}")}}) {
        const std::size_t before = agent.requests.size();
        bool told = false;
        agent.script = [&](const auto&) { return std::exchange(told, true) ? Reply{} : reply; };
        if (before > 0) agent.connections.back()->socket.close();
        until([&] { return agent.requests.size() >= before + 2 && is_watched_from("41"); });
        agent.script = silence;
    }
    send_list(list_json(42, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return is_watched_from("42"); });
}

// A watch that falls silent right after its call misses drains that count as told 6 s later (PROTOCOL,
// "Figures"): another is out in time for a whole fleet's calls to be handled in turn, and the first is left
// once that one is answered.
TEST_F(Net, AWatchThatFellSilentIsBegunAnewBesideItInTime) {
    start();
    until([&] { return agent.requests.size() == 1; });
    const auto called = std::chrono::steady_clock::now();
    until([&] { return agent.requests.size() == 2; });
    EXPECT_LE(std::chrono::steady_clock::now() - called, std::chrono::milliseconds(3000));
    EXPECT_EQ(agent.connections.size(), 2u);
    EXPECT_EQ(agent.ended_count(), 0u) << "it may only be slow";
    send_list(list_json(42, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return is_watched_from("42") && agent.ended_count() == 1; });
    EXPECT_EQ(agent.connections.size(), 2u);
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(send_and_wait(request("listen", std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 0u);
}

TEST_F(Net, AWatchThatWasOnlySlowGoesOn) {
    start();
    until([&] { return agent.requests.size() == 2; });
    agent.send(0, response("200 OK", list_json(42, false, {{"s-a", a.address(), "Terminating"}})));
    until([&] { return is_watched_from("42") && agent.ended_count() == 1; });
    EXPECT_EQ(agent.connections[0]->requests, 2u);
    EXPECT_TRUE(agent.connections[1]->ended);
}

// An older version than what is held changes nothing; the whole list is asked for, and that is taken as it
// is.
TEST_F(Net, AnOlderListIsNotTakenUntilItIsTheWholeOne) {
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

// Some hundreds of servers are usual; 1,024 come whole and as changes, within the least limits of a
// deployment.
TEST_F(Net, AThousandServersComeWholeAndAsChanges) {
    std::vector<ListedServer> many{{"s-b", b.address()}};
    for (int i = 0; i < 1023; ++i) many.push_back({"s-" + std::to_string(i), a.address()});
    start({{"s-b", b.address()}}, "256");
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, true, many));
    until([&] { return is_watched_from("42") && sidecar->metrics().servers_listed == 1024; });
    for (int i = 0; i < 300; ++i)
        EXPECT_EQ(send_and_wait(request("listen", std::to_string(i))).result_int(), 200u);
    EXPECT_GT(a.requests.size(), 200u);
    // Every server has connections of its own, and each idle one makes room for another.
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

// SIGHUP: the watch goes on at the new address from the version that is held, and the old one is left.
TEST_F(Net, AMovedDiscoveryIsWatchedWhereItIs) {
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
    sidecar->reconfigure(config);  // nothing new: the watch stays
    EXPECT_EQ(send_and_wait(request("listen", "last")).result_int(), 200u);
    EXPECT_EQ(moved.ended_count(), 0u);
    EXPECT_EQ(agent.requests.size(), 1u);
}

// Where lists are asked for, what the new address reports counts as told 4 s after the signal (TERMS): whom
// it has no room for asks again until then, and not at the patient pace of other failures.
TEST_F(Net, AMovedDiscoveryWithoutRoomIsAskedAgainInTime) {
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

TEST_F(Net, BadRequestsAreAnsweredAndClosedWithoutTheModule) {
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

// Found on page9581: a flood of requests of classes nobody configured went to the servers, which had no use
// for them, and filled the share of the tenants it named.
TEST_F(Net, AnUnknownClassOrAWrongFormIsAnsweredWithoutTheServers) {
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

// Found on page9581: requests that every server answers with 400 were tried at five servers each and counted
// against all of them, until half of a healthy pool was removed.
TEST_F(Net, ARequestThatServersFindFaultWithIsItsOwnFaultAndNotTheirs) {
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
    EXPECT_EQ(server_request_count(), 40u) << "none is tried twice";
    EXPECT_EQ(sidecar->request_count(), 0u);
    const std::size_t at_a = a.requests.size(), at_b = b.requests.size();
    for (int i = 0; i < 40; ++i)
        EXPECT_EQ(send_and_wait(request("listen", "id-" + std::to_string(i))).body(), "served");
    EXPECT_GT(a.requests.size(), at_a) << "neither is out of the pool";
    EXPECT_GT(b.requests.size(), at_b);
}

// Whoever connects is owed an error or a close within 3 s, also who sends nothing or only a part, however
// it trickles. The application's own connections stay.
TEST_F(Net, APeerThatSendsNothingOrAPartIsEndedInTime) {
    start_with_a();
    TestClient& kept = client();
    kept.send(request("listen", "id-1"));
    until([&] { return kept.answers.size() == 1; });
    const auto began = std::chrono::steady_clock::now();
    TestClient &silent = client(), &partial = client(), &body = client();
    partial.send("GET /listen HTT");
    const std::string whole = request("deposit", "id-2", 5000, "a body");
    body.send(whole.substr(0, whole.size() - 2));
    until([&] { return silent.ended && partial.ended && body.ended; });
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(4500));
    EXPECT_FALSE(kept.ended);
    kept.send(request("listen", "id-3"));
    until([&] { return kept.answers.size() == 2; });
    EXPECT_EQ(a.requests.size(), 2u);
}

// SIGTERM: what is held is finished, what still comes is answered, each with the connection's end, then it is
// done.
TEST_F(Net, ADrainFinishesWhatIsHeldAndWhatStillComes) {
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

// A request taken right before the end may have longer than the 3.5 s after which connections without one are
// ended: it is answered first.
TEST_F(Net, ADrainEndsNoConnectionThatIsOwedAnAnswer) {
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

// At the bound on clients the one idle longest makes room, and never one that waits for its answer.
TEST_F(Net, IdleClientsMakeRoom) {
    start({{"s-a", a.address()}}, "28");  // of which eight are for clients and servers
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

// Out of descriptors: accepting pauses, neither spins nor dies, and goes on when there are some again.
TEST_F(Net, RunsOutOfDescriptorsAndGoesOn) {
    start_with_a();
    TestClient& c = client();
    c.send(request("listen", "id-1"));
    until([&] { return c.answers.size() == 1; });
    TestClient& waiting = client();  // in the backlog
    std::optional<DescriptorExhaustion> no_descriptors(std::in_place);
    waiting.send(request("listen", "id-2"));
    for (int turns = 0; turns < 20; ++turns) io.run_one_for(std::chrono::milliseconds(10));
    c.send(request("listen", "id-3"));  // a connection that is there still serves
    until([&] { return c.answers.size() == 2; });
    EXPECT_TRUE(waiting.answers.empty());
    no_descriptors.reset();
    until([&] { return waiting.answers.size() == 1; });
}

// Many at once, over servers of which one fails: each request has exactly one answer.
TEST_F(Net, EachRequestGetsExactlyOneAnswer) {
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
    std::map<std::string, int> unsafe;
    for (const auto* server : {&a, &b})
        for (const auto& r : server->requests)
            if (r["Request-Class"] == "deposit") ++unsafe[std::string(r["Request-Id"])];
    for (const auto& [id, count] : unsafe) EXPECT_LE(count, 4) << id;
    EXPECT_EQ(sidecar->gauges().requests, 0u);
}

TEST(Peers, MessagesComeFromPeersAndAreShort) {
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
    EXPECT_EQ(one.receive(asio::buffer(buffer)), 2u);  // the one before it was too long and never left
}

}  // namespace
}  // namespace mothring::node::test
