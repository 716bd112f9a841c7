// Tests of UpstreamPool: the outcome of an exchange for each kind of response or failure, and the reuse,
// closing and limit of connections.
#include "net_rig.hpp"

namespace mothring::node::test {
namespace {

constexpr ServerId kServer = 7;

struct UpstreamPoolTest : testing::Test {
    asio::io_context io;
    std::optional<UpstreamPool> upstream;
    struct End {
        Outcome outcome;
        UpstreamPool::Response response;
    };
    std::vector<End> ends;

    UpstreamPoolTest() { create_pool({}); }
    std::shared_ptr<net::BufferBudget> budget =
        std::make_shared<net::BufferBudget>(net::BufferBudget{16 << 20});
    void create_pool(UpstreamPool::Limits limits) { upstream.emplace(io, limits, budget); }
    // Returns a body of which these bytes have been received.
    std::shared_ptr<net::BodyBuffer> received_body(const std::string& bytes,
                                                   std::optional<std::uint64_t> length) {
        auto body = std::make_shared<net::BodyBuffer>(budget, length);
        EXPECT_GE(body->free_space(), bytes.size());
        bytes.copy(body->write_pointer(), bytes.size());
        body->commit(bytes.size());
        if (length == bytes.size()) body->mark_complete();
        return body;
    }
    void until(const std::function<bool()>& reached) { run_until(io, reached); }

    UpstreamPool::OnResponseStarted on_response_started;
    ExchangeId start(const std::shared_ptr<net::BodyBuffer>& body = nullptr) {
        UpstreamPool::Request request;
        request.message.method(http::verb::post);
        request.message.target("/deposit");
        request.body = body;
        return upstream->start(
            kServer, std::move(request),
            [this](Outcome outcome, UpstreamPool::Response response) {
                ends.push_back({outcome, std::move(response)});
            },
            on_response_started);
    }
    // Sends a request to that address and waits for the end of the exchange.
    End end_of_request(const net::Tcp::endpoint& address) {
        upstream->set_server(kServer, address, 0);
        const std::size_t before = ends.size();
        start();
        until([&] { return ends.size() > before; });
        return ends.size() > before ? ends.back() : End{Outcome::not_sent, {}};
    }
    Outcome outcome_of(const Reply& reply) {
        ScriptedServer server(io, [&](const auto&) { return reply; });
        return end_of_request(server.endpoint()).outcome;
    }
};

TEST_F(UpstreamPoolTest, CompleteResponseIsReportedWithItsBody) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK", "a song")}; });
    const End end = end_of_request(server.endpoint());
    EXPECT_EQ(end.outcome, Outcome::completed);
    EXPECT_EQ(end.response.body(), "a song");
}

TEST_F(UpstreamPoolTest, OnlyNotStartedHeaderOn503Or504ProvesThatRequestNeverRan) {
    EXPECT_EQ(outcome_of({response("500 Oops")}), Outcome::failed);
    EXPECT_EQ(outcome_of({response("503 Full", "", "Not-Started: 1\r\n")}), Outcome::overloaded);
    EXPECT_EQ(outcome_of({response("504 Over", "", "Not-Started: 1\r\n")}), Outcome::overloaded);
    EXPECT_EQ(outcome_of({response("503 Full")}), Outcome::failed);
    EXPECT_EQ(outcome_of({response("503 Full", "", "Not-Started: 0\r\n")}), Outcome::failed);
    EXPECT_EQ(outcome_of({response("500 Oops", "", "Not-Started: 1\r\n")}), Outcome::failed);
    EXPECT_EQ(outcome_of({response("404 Who")}), Outcome::invalid_request);
    EXPECT_EQ(outcome_of({response("400 What")}), Outcome::invalid_request);
    EXPECT_EQ(outcome_of({response("429 Later")}), Outcome::failed);
}

// The header alone proves that the request never ran, so a truncated body must not change the outcome.
TEST_F(UpstreamPoolTest, TruncatedRejectionStillProvesThatRequestNeverRan) {
    EXPECT_EQ(outcome_of({"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nfu", true}),
              Outcome::overloaded);
}

TEST_F(UpstreamPoolTest, ConnectionEndAfterRequestIsConnectionLost) {
    EXPECT_EQ(outcome_of({"", true}), Outcome::connection_lost);
    EXPECT_EQ(outcome_of({"", false, true}), Outcome::connection_lost);
}

// A response must not be forwarded if its body is truncated, has no recognizable end, or is too long, or if
// it is not HTTP.
TEST_F(UpstreamPoolTest, TruncatedOrMalformedResponseIsConnectionLost) {
    EXPECT_EQ(outcome_of({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true}),
              Outcome::connection_lost);
    EXPECT_EQ(outcome_of({"HTTP/1.1 200 OK\r\n\r\nuntil the end", true}), Outcome::connection_lost);
    EXPECT_EQ(outcome_of({"\x16\x03\x01 nonsense\r\n\r\n"}), Outcome::connection_lost);
    EXPECT_EQ(outcome_of({response("200 OK", std::string(65 * 1024, 'x'))}), Outcome::connection_lost);
    EXPECT_EQ(outcome_of({"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551614\r\n\r\n"}),
              Outcome::connection_lost);
}

TEST_F(UpstreamPoolTest, InterimResponseIsSkipped) {
    EXPECT_EQ(outcome_of({"HTTP/1.1 100 Continue\r\n\r\n" + response("200 OK")}), Outcome::completed);
}

TEST_F(UpstreamPoolTest, RefusedConnectionIsConnectFailed) {
    ScriptedServer server(io, {});
    server.close();
    EXPECT_EQ(end_of_request(server.endpoint()).outcome, Outcome::connect_failed);
}

// A machine that has crashed does not answer, so the connection is never established. A full backlog has the
// same effect.
TEST_F(UpstreamPoolTest, ConnectionThatIsNotEstablishedTimesOut) {
    net::Tcp::acceptor full_backlog(io, net::Tcp::v4());
    full_backlog.bind(any_port);
    full_backlog.listen(0);
    std::list<net::Tcp::socket> backlog;
    for (int i = 0; i < 4; ++i) {
        backlog.emplace_back(io, net::Tcp::v4());
        backlog.back().async_connect(full_backlog.local_endpoint(), [](error_code) {});
    }
    create_pool({20, 1000, 8});
    EXPECT_EQ(end_of_request(full_backlog.local_endpoint()).outcome, Outcome::connect_failed);
    EXPECT_EQ(upstream->stats().open, 0u);
}

// A request whose last byte was not written can't have run, so a request that is not idempotent may be sent
// to another server.
TEST_F(UpstreamPoolTest, ConnectionResetDuringRequestIsConnectFailed) {
    net::Tcp::acceptor acceptor(io, any_port);
    std::optional<net::Tcp::socket> accepted;
    acceptor.async_accept([&](error_code, net::Tcp::socket socket) { accepted.emplace(std::move(socket)); });
    upstream->set_server(kServer, acceptor.local_endpoint(), 0);
    start(received_body(std::string(60000, 'x'), 1 << 20));
    until([&] { return accepted.has_value(); });
    bool is_readable = false;
    accepted->async_wait(net::Tcp::socket::wait_read, [&](error_code) { is_readable = true; });
    until([&] { return is_readable; });
    accepted->set_option(asio::socket_base::linger(true, 0));
    accepted->close();
    until([&] { return !ends.empty(); });
    EXPECT_EQ(ends.at(0).outcome, Outcome::connect_failed);
}

TEST_F(UpstreamPoolTest, CancelReturnsWhetherRequestWasWritten) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    upstream->set_server(kServer, server.endpoint(), 0);
    EXPECT_FALSE(upstream->cancel(start())) << "the connection is not established yet";
    const ExchangeId second = start();
    until([&] { return server.requests.size() == 1; });
    EXPECT_TRUE(upstream->cancel(second));
    until([&] { return server.ended_count() == server.connections.size(); });
    EXPECT_EQ(upstream->stats().open, 0u);
    EXPECT_TRUE(ends.empty());
}

// If the length is known, the last byte of a body is sent before the body is marked as complete. A
// cancellation in between must report that the request may have run.
TEST_F(UpstreamPoolTest, CancelAfterLastBodyByteReportsRequestAsWritten) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    upstream->set_server(kServer, server.endpoint(), 0);
    const auto body = received_body("a b", 6);
    const ExchangeId exchange = start(body);
    until([&] {
        return server.connections.size() == 1 && server.connections[0]->parser->is_header_done() &&
               body->unread().empty();
    });
    ASSERT_GE(body->free_space(), 3u);
    std::string("ody").copy(body->write_pointer(), 3);
    body->commit(3);
    EXPECT_TRUE(upstream->cancel(exchange));
    until([&] { return server.requests.size() == 1; });
}

TEST_F(UpstreamPoolTest, MostRecentlyUsedIdleConnectionIsReused) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    upstream->set_server(kServer, server.endpoint(), 0);
    start(), start();
    until([&] { return server.requests.size() == 2; });
    server.send(1, response("200 OK"));
    until([&] { return ends.size() == 1; });
    server.send(0, response("200 OK"));
    until([&] { return ends.size() == 2; });
    wait_for_connection_reuse(io);
    start();
    until([&] { return server.requests.size() == 3; });
    EXPECT_EQ(server.connections.at(0)->requests, 2u);
    EXPECT_EQ(upstream->stats().opened, 2u);
}

// A server may close an idle connection at any time. The pool must detect that before it sends the next
// request, also if the event loop has not reported it yet.
TEST_F(UpstreamPoolTest, ClosedIdleConnectionIsNotReused) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(end_of_request(server.endpoint()).outcome, Outcome::completed);
    const auto end = [&](bool reset) {  // The event loop does not run after the close.
        wait_for_connection_reuse(io);
        const auto& last = server.connections.back();
        if (reset) last->socket.set_option(asio::socket_base::linger(true, 0));
        last->socket.close();
    };
    end(false);
    EXPECT_EQ(end_of_request(server.endpoint()).outcome, Outcome::completed);
    EXPECT_EQ(server.connections.size(), 2u);
    end(true);
    EXPECT_EQ(end_of_request(server.endpoint()).outcome, Outcome::completed);
    EXPECT_EQ(server.connections.size(), 3u);
}

// If the server closes the connection while a request is in flight, the request may have run. The pool must
// report that and must not resend it.
TEST_F(UpstreamPoolTest, RequestOnConnectionClosedByServerIsNotResent) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(end_of_request(server.endpoint()).outcome, Outcome::completed);
    server.script = [](const auto&) { return Reply{"", true}; };
    wait_for_connection_reuse(io);
    EXPECT_EQ(end_of_request(server.endpoint()).outcome, Outcome::connection_lost);
    EXPECT_EQ(server.requests.size(), 2u);
    EXPECT_EQ(server.connections.size(), 1u);
}

// Unsolicited bytes on an idle connection must not be taken for the response to the next request.
TEST_F(UpstreamPoolTest, UnsolicitedBytesCloseIdleConnection) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK", "asked")}; });
    EXPECT_EQ(end_of_request(server.endpoint()).outcome, Outcome::completed);
    server.send(0, response("200 OK", "unasked"));
    EXPECT_EQ(end_of_request(server.endpoint()).response.body(), "asked");
    EXPECT_EQ(server.connections.size(), 2u);
}

// A faulty server sends a second response a few milliseconds after the first, when the next request has
// already been sent. Nothing in the response shows that it does not belong to that request.
TEST_F(UpstreamPoolTest, UnsolicitedSecondResponseIsNotTakenForNextRequest) {
    // The reuse delay is longer than the test runs, also on a slow machine.
    create_pool({250, 14000, 512, 50, 60000});
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK", "first")}; });
    EXPECT_EQ(end_of_request(server.endpoint()).response.body(), "first");
    server.script = [&](const auto&) {
        server.send(0, response("200 OK", "second to the first"));
        return Reply{response("200 OK", "the next")};
    };
    EXPECT_EQ(end_of_request(server.endpoint()).response.body(), "the next");
    until([&] { return server.ended_count() == 1; });
    EXPECT_TRUE(server.connections.at(0)->ended);
    EXPECT_EQ(server.connections.at(0)->requests, 1u);
}

// Guards against a wait without end for a server that never gives the rest of a streamed response.
TEST_F(UpstreamPoolTest, StreamedResponseOfSilentServerTimesOut) {
    constexpr Millis kIdleTimeout = 200;
    UpstreamPool::Limits limits;
    limits.stream_idle_timeout = kIdleTimeout;
    create_pool(limits);
    std::shared_ptr<net::BodyBuffer> streamed;
    on_response_started = [&](const UpstreamResponseHead&, std::shared_ptr<net::BodyBuffer> body) {
        streamed = std::move(body);
    };
    const auto began = std::chrono::steady_clock::now();
    EXPECT_EQ(outcome_of({"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst"}),
              Outcome::connection_lost);
    EXPECT_GE(std::chrono::steady_clock::now() - began, net::to_duration(kIdleTimeout));
    ASSERT_TRUE(streamed);
    EXPECT_TRUE(streamed->is_truncated());
}

// The pool must close an idle connection before the server's own idle time-out does.
TEST_F(UpstreamPoolTest, IdleConnectionIsClosedAfterIdleTimeout) {
    create_pool({250, 20, 8});
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(end_of_request(server.endpoint()).outcome, Outcome::completed);
    until([&] { return server.ended_count() == 1; });
    EXPECT_EQ(upstream->stats().open, 0u);
}

TEST_F(UpstreamPoolTest, ChangedServerAddressClosesOldConnectionAndUsesNewOne) {
    ScriptedServer before(io, [](const auto&) { return Reply{response("200 OK", "old")}; });
    ScriptedServer after(io, [](const auto&) { return Reply{response("200 OK", "new")}; });
    EXPECT_EQ(end_of_request(before.endpoint()).response.body(), "old");
    EXPECT_EQ(end_of_request(after.endpoint()).response.body(), "new");
    until([&] { return before.ended_count() == 1; });
}

// At the limit the connection that has been idle longest is closed to open another one. If no connection is
// idle, nothing is sent, and the outcome must not count against the server.
TEST_F(UpstreamPoolTest, ConnectionLimitClosesIdleConnectionOrLeavesRequestUnsent) {
    create_pool({250, 10000, 1});
    ScriptedServer first(io, [](const auto&) { return Reply{response("200 OK")}; });
    ScriptedServer second(io, [](const auto&) { return Reply{}; });
    EXPECT_EQ(end_of_request(first.endpoint()).outcome, Outcome::completed);
    upstream->set_server(kServer + 1, second.endpoint(), 0);
    UpstreamPool::Request ping;
    ping.message.method(http::verb::get);
    ping.message.target("/ping");
    upstream->start(kServer + 1, std::move(ping), [](Outcome, const auto&) {});
    until([&] { return second.requests.size() == 1 && first.ended_count() == 1; });
    EXPECT_EQ(upstream->stats().open, 1u);
    EXPECT_EQ(end_of_request(first.endpoint()).outcome, Outcome::not_sent);
    EXPECT_EQ(first.requests.size(), 1u);
}

}  // namespace
}  // namespace mothring::node::test
