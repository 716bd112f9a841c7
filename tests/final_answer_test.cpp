// Every request must get exactly one final answer no later than 500 ms after its deadline, or its connection
// must be closed. These tests check that with failing servers, with other clients that use up the limits, and
// with failing memory allocations.
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <future>
#include <map>
#include <new>
#include <thread>

#include "net_rig.hpp"

namespace {

// Number of allocations of this thread that succeed before one fails; -1 if none fails.
thread_local long allocations_left = -1;

}  // namespace

// The functions are not inlined because the compiler would otherwise see mismatched pairs, malloc() with
// delete or new with free().
[[gnu::noinline]] void* operator new(std::size_t size) {
    if (allocations_left >= 0 && allocations_left-- == 0) throw std::bad_alloc();
    if (void* const memory = std::malloc(size > 0 ? size : 1)) return memory;
    throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace mothring::node::test {
namespace {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

const std::vector<std::string> kinds{"listen", "deposit", "annotate"};
constexpr int kTimeout = 150;        // ms, time-out of the requests
constexpr milliseconds kSlack{500};  // time after its deadline within which a request must be answered

// The faulty behaviour of a server. The server sends `bytes` for every request. It then either sends `more`
// repeatedly or ends the connection.
struct ServerFault {
    std::string name;
    std::string bytes;
    std::string more{};
    enum class End { none, close, reset } end = End::none;
    friend std::ostream& operator<<(std::ostream& out, const ServerFault& fault) { return out << fault.name; }
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
std::string times(const std::string& text, int count) {
    std::string all;
    for (int i = 0; i < count; ++i) all += text;
    return all;
}

const std::vector<ServerFault> server_faults{
    {"Silence", ""},
    {"Close", "", "", ServerFault::End::close},
    {"Reset", "", "", ServerFault::End::reset},
    {"PartialStatusLine", "HTTP/1.1 2"},
    {"PartialStatusLineReset", "HTTP/1.1 2", "", ServerFault::End::reset},
    {"PartialBody", ok + "Content-Length: 100\r\n\r\nhalf"},
    {"PartialBodyClose", ok + "Content-Length: 100\r\n\r\nhalf", "", ServerFault::End::close},
    {"PartialBodyReset", ok + "Content-Length: 100\r\n\r\nhalf", "", ServerFault::End::reset},
    {"PartialLargeBodyClose", ok + "Content-Length: 100000\r\n\r\n" + times("half", 5000), "",
     ServerFault::End::close},
    {"PartialChunkReset", ok + "Transfer-Encoding: chunked\r\n\r\n64\r\nhalf", "", ServerFault::End::reset},
    {"LengthTooSmall", ok + "Content-Length: 3\r\n\r\nserved"},
    {"LengthNegative", ok + "Content-Length: -1\r\n\r\nserved"},
    {"LengthOverflow", ok + "Content-Length: 99999999999999999999\r\n\r\nserved"},
    {"LengthOverLimit", ok + "Content-Length: 999999999999\r\n\r\nserved"},
    {"ConflictingLengths", ok + "Content-Length: 6\r\nContent-Length: 7\r\n\r\nserved"},
    {"LengthAndChunks",
     ok + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n"},
    {"ChunkSizeOverflow", ok + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nserved"},
    {"EndlessHeaders", ok, "X-More: and more\r\n"},
    {"EndlessHeaderLine", ok + "X-More: ", "and more "},
    {"EndlessHeadersAtOnce", ok + times("X-More: and more\r\n", 20000)},
    {"EndlessChunkExtension", ok + "Transfer-Encoding: chunked\r\n\r\n6;", "and-more"},
    {"EndlessTrailers", ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n",
     "X-More: and more\r\n"},
    {"EndlessInterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"EndlessInterimResponsesAtOnce", times("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 20000),
     "HTTP/1.1 100 Continue\r\n\r\n"},
    {"SwitchingProtocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: none\r\n\r\nrubbish"},
    {"SecondResponseAtOnce", response("200 OK", "served") + response("200 OK", "second")},
    {"RepeatedSecondResponses", response("200 OK", "served"), response("200 OK", "second")},
    {"BinaryGarbage", std::string("\0\1\2\3\r\n\r\n", 8), "\xff\xfe"},
    {"EmptyLines", "", "\r\n"},
    {"OtherProtocol", "SSH-2.0-OpenSSH_9.2\r\n"},
};

struct FinalAnswer : NetRig {
    struct SentRequest {
        TestClient* client;
        SteadyClock::time_point deadline;  // latest time for the response
    };
    std::list<SentRequest> sent_requests;

    SentRequest& send(const std::string& bytes, int timeout = kTimeout) {
        sent_requests.push_back({&client(), SteadyClock::now() + milliseconds(timeout) + kSlack});
        sent_requests.back().client->send(bytes);
        return sent_requests.back();
    }
    // Returns whether the request has a response or its connection has ended.
    static bool is_finished(const SentRequest& a) { return !a.client->answers.empty() || a.client->ended; }
    // Runs the event loop until no handler is ready: all bytes that were sent have been read then.
    void run_ready_handlers() {
        constexpr int kMaxTurns = 1000;
        io.restart();
        for (int turn = 0; turn < kMaxTurns && io.poll() > 0; ++turn) io.restart();
    }
    // Checks that each request is finished in time. Calls `on_turn` repeatedly while it waits.
    void expect_each_finished_in_time(const std::function<void()>& on_turn = [] {}) {
        until([&] {
            on_turn();
            return std::all_of(sent_requests.begin(), sent_requests.end(), [](const SentRequest& a) {
                return is_finished(a) || SteadyClock::now() > a.deadline;
            });
        });
        for (const SentRequest& a : sent_requests)
            EXPECT_TRUE(is_finished(a)) << "no response by the deadline plus 500 ms";
    }
    // Checks that no request has a second response. The next response on each open connection must be the one
    // to a further request.
    void expect_no_second_response() {
        for (const SentRequest& a : sent_requests) {
            EXPECT_LE(a.client->answers.size(), 1u);
            if (a.client->ended || a.client->answers.empty() || !a.client->answers[0].keep_alive()) continue;
            try {
                a.client->send("POST /_health HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n");
            } catch (const boost::system::system_error&) {
                continue;  // The sidecar has closed the connection.
            }
            until([&] { return a.client->answers.size() > 1 || a.client->ended; });
            if (a.client->answers.size() > 1) {
                EXPECT_EQ(a.client->answers[1].result_int(), 405u);
            }
        }
    }
    void expect_no_request_left() {
        until([&] { return sidecar->request_count() == 0 && sidecar->metrics().in_flight == 0; });
        EXPECT_EQ(sidecar->gauges().requests, 0u);
    }
};

struct FailingServer : FinalAnswer, testing::WithParamInterface<ServerFault> {};

TEST_P(FailingServer, EachRequestHasOneResponseInTime) {
    const ServerFault& fault = GetParam();
    const std::string bytes = fault.bytes;
    a.script = b.script = [&](const auto&) {
        return Reply{bytes, fault.end == ServerFault::End::close, fault.end == ServerFault::End::reset};
    };
    start();
    for (const std::string& kind : kinds)
        for (int i = 0; i < 4; ++i) send(request(kind, kind + std::to_string(i), kTimeout));
    expect_each_finished_in_time([&] {
        for (ScriptedServer* server : {&a, &b})
            for (const auto& c : server->connections) {
                error_code ignored;
                if (fault.more.empty() || c->requests == 0 || !c->socket.is_open()) continue;
                c->socket.non_blocking(true, ignored);
                c->socket.write_some(asio::buffer(fault.more), ignored);
            }
    });
    EXPECT_GE(server_request_count(), 2u);
    expect_no_second_response();
    a.script = b.script = silence;
    expect_no_request_left();
}

INSTANTIATE_TEST_SUITE_P(Each, FailingServer, testing::ValuesIn(server_faults),
                         [](const auto& info) { return info.param.name; });

// A server may respond or close the connection before it has received the complete request. The
// client must then still get a single response.
TEST_F(FinalAnswer, ResponseBeforeRequestIsCompleteIsTheOnlyOne) {
    const std::vector<std::string> replies{response("200 OK", "early"), response("500 Early"), ""};
    for (const std::string& reply : replies) {
        net::Tcp::acceptor early(io, any_port);
        std::list<net::Tcp::socket> accepted_sockets;
        std::function<void()> accept = [&] {
            early.async_accept([&](error_code failed, net::Tcp::socket socket) {
                if (failed) return;
                accepted_sockets.push_back(std::move(socket));
                error_code ignored;
                asio::write(accepted_sockets.back(), asio::buffer(reply), ignored);
                if (reply.empty()) accepted_sockets.back().close();
                accept();
            });
        };
        accept();
        sent_requests.clear();
        start({{"s-early", "127.0.0.1:" + std::to_string(early.local_endpoint().port())}});
        const std::string complete_request = request("deposit", "id-1", kTimeout, std::string(1 << 20, 'a'));
        send(complete_request.substr(0, 200000));
        TestClient& c = *sent_requests.back().client;
        until([&] { return !accepted_sockets.empty() || is_finished(sent_requests.back()); });
        error_code ignored;
        try {
            c.send(complete_request.substr(200000));
        } catch (const boost::system::system_error&) {
            // The sidecar has already responded and closed the connection.
        }
        sent_requests.back().deadline = SteadyClock::now() + milliseconds(kTimeout) + kSlack;
        expect_each_finished_in_time();
        EXPECT_EQ(c.answers.size(), 1u) << reply;
        until([&] { return c.ended || c.answers[0].keep_alive(); });
        expect_no_request_left();
        sidecar.reset();
        early.close(ignored);
        io.poll();
    }
}

// Clients that are idle, send incomplete requests or don't read their responses reach the limit of
// connections. Requests in flight must still be answered.
TEST_F(FinalAnswer, ClientsAtConnectionLimitDoNotPreventResponses) {
    a.script = [&](const auto& r) {
        return r["Request-Id"] == "large" ? Reply{response("200 OK", std::string(1 << 20, 'a'))} : Reply{};
    };
    start({{"s-a", a.address()}}, "48");  // The limit is twelve clients.
    for (int i = 0; i < 6; ++i) send(request("listen", "id-" + std::to_string(i), 600), 600);
    until([&] { return a.requests.size() == 6; });
    std::list<net::Tcp::socket> other_clients;
    for (int i = 0; i < 60; ++i) {
        other_clients.emplace_back(io).connect(sidecar->address());
        const std::string large = request("listen", "large");
        if (i < 2) asio::write(other_clients.back(), asio::buffer(large));  // The response is never read.
        if (i % 3 == 1) asio::write(other_clients.back(), asio::buffer(large.substr(0, 30)));
        io.poll();
    }
    expect_each_finished_in_time();
    for (const SentRequest& each : sent_requests) EXPECT_EQ(each.client->answers.size(), 1u);
}

// A crowd of clients that each send some bytes and then stay silent.
struct SilentCrowd {
    std::string name;
    std::string bytes;  // sent by each client of the crowd, with a request id of its own
    std::string bytes_of(int client) const {
        const std::string id = "id-" + std::to_string(10000 + client);  // as long as "id-crowd"
        return bytes.find("id-crowd") == std::string::npos ? bytes : replace_first(bytes, "id-crowd", id);
    }
    friend std::ostream& operator<<(std::ostream& out, const SilentCrowd& crowd) { return out << crowd.name; }
};

const std::vector<SilentCrowd> silent_crowds{
    {"WithinBody", request("deposit", "id-crowd", 5000, std::string(1000, 'a')).substr(0, 200)},
    {"WithinForwardedBody",
     request("deposit", "id-crowd", 5000, std::string(1 << 20, 'a')).substr(0, 100000)},
    {"AfterRejection", "no request\r\n\r\n"},
};

struct CrowdAtConnectionLimit : FinalAnswer, testing::WithParamInterface<SilentCrowd> {
    // Returns how many clients of the crowd have received this status.
    static int count_status(std::list<net::Tcp::socket>& crowd, const std::string& status) {
        int count = 0;
        for (net::Tcp::socket& each : crowd) {
            std::array<char, 512> bytes{};
            error_code ignored;
            each.non_blocking(true, ignored);
            const std::size_t received = each.read_some(asio::buffer(bytes), ignored);
            count += std::string(bytes.data(), received).find(" " + status + " ") != std::string::npos;
        }
        return count;
    }
};

// Guards against requests on new connections that wait unanswered in the backlog while other clients, which
// stop in the middle of a body or do not close their connections, hold all connections (review case 1).
TEST_P(CrowdAtConnectionLimit, RequestsOnNewConnectionsAreAnswered) {
    constexpr int kCrowd = 240;
    constexpr int kRequestTimeout = 1000;
    start({{"s-a", a.address()}}, "48");  // The limit is twelve clients.
    std::list<net::Tcp::socket> crowd;
    for (int i = 0; i < kCrowd; ++i) {
        crowd.emplace_back(io).connect(sidecar->address());
        asio::write(crowd.back(), asio::buffer(GetParam().bytes_of(i)));
    }
    for (int i = 0; i < 6; ++i)
        send(request("deposit", "id-" + std::to_string(i), kRequestTimeout), kRequestTimeout);
    expect_each_finished_in_time();
    for (const SentRequest& each : sent_requests) {
        ASSERT_EQ(each.client->answers.size(), 1u);
        EXPECT_EQ(each.client->answers[0].result_int(), 200u);
    }
    const bool is_rejected_early = GetParam().name != "AfterRejection";
    EXPECT_GE(count_status(crowd, is_rejected_early ? "503" : "400"), kCrowd - 12);
}

INSTANTIATE_TEST_SUITE_P(Each, CrowdAtConnectionLimit, testing::ValuesIn(silent_crowds),
                         [](const auto& info) { return info.param.name; });

// Of the clients whose bodies are incomplete, the one that has been silent for longest is evicted first.
TEST_F(FinalAnswer, SlowUploadIsNotEvictedBeforeSilentOnes) {
    start({{"s-a", a.address()}}, "48");  // The limit is twelve clients.
    const std::string slow = request("deposit", "id-slow", 1000, std::string(100, 'a'));
    constexpr std::size_t kLastBytes = 60;
    SentRequest& upload = send(slow.substr(0, slow.size() - kLastBytes), 3000);
    std::list<net::Tcp::socket> crowd;
    for (std::size_t i = kLastBytes; i > 0; --i) {
        upload.client->send(slow.substr(slow.size() - i, 1));
        run_ready_handlers();
        crowd.emplace_back(io).connect(sidecar->address());
        asio::write(crowd.back(), asio::buffer(silent_crowds.front().bytes));
        run_ready_handlers();
    }
    expect_each_finished_in_time();
    ASSERT_EQ(upload.client->answers.size(), 1u);
    EXPECT_EQ(upload.client->answers[0].result_int(), 200u);
}

// Stalled uploads of other clients use the complete memory budget for bodies.
TEST_F(FinalAnswer, StalledUploadsDoNotPreventResponses) {
    config::Config config =
        config::read_config(config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}})));
    config.memory_mb = 1;  // Bodies get 256 KiB of it, four buffers of the largest size.
    sidecar.emplace(io, std::move(config));
    a.script = [](const auto&) { return Reply{response("200 OK", std::string(60000, 'a'))}; };
    std::list<net::Tcp::socket> stalled;
    for (int i = 0; i < 100; ++i) {
        stalled.emplace_back(io).connect(sidecar->address());
        const std::string complete_request =
            request("deposit", "still-" + std::to_string(i), 5000, std::string(1 << 20, 'a'));
        asio::write(stalled.back(), asio::buffer(complete_request.substr(0, 8000)));
    }
    until([&] { return sidecar->buffered_bytes() >= 256 * 1024; });
    for (int i = 0; i < 8; ++i)
        send(request("annotate", "id-" + std::to_string(i), 1000, std::string(60000, 'b')), 1000);
    expect_each_finished_in_time();
    for (const SentRequest& each : sent_requests) {
        ASSERT_EQ(each.client->answers.size(), 1u);
        EXPECT_EQ(each.client->answers[0].result_int(), 200u);
        EXPECT_EQ(each.client->answers[0].body().size(), 60000u);
    }
}

// One client sends pipelined requests as fast as the sidecar accepts them. The requests of other clients must
// not be delayed.
TEST_F(FinalAnswer, FloodOfPipelinedRequestsDoesNotDelayOtherClients) {
    start();
    net::Tcp::socket flood(io);
    flood.connect(sidecar->address());
    flood.non_blocking(true);
    const std::string many = times(request("listen", "flood"), 100);
    std::array<char, 65536> piece{};
    const auto send_more = [&] {
        error_code ignored;
        flood.write_some(asio::buffer(many), ignored);
        while (!ignored) flood.read_some(asio::buffer(piece), ignored);
    };
    until([&] { return send_more(), server_request_count() >= 200; });
    for (int i = 0; i < 8; ++i) send(request("deposit", "id-" + std::to_string(i), kTimeout));
    expect_each_finished_in_time(send_more);
    for (const SentRequest& each : sent_requests) {
        ASSERT_EQ(each.client->answers.size(), 1u);
        EXPECT_EQ(each.client->answers[0].result_int(), 200u);
    }
}

// ---- Failing memory allocations ----

// Runs a sidecar in its own thread. Like the program's event loop, the thread catches an exception of a
// handler and continues with the other handlers.
class SidecarThread {
public:
    explicit SidecarThread(config::Config config)
        : sidecar_(io_, std::move(config)), thread_([this] {
              while (!io_.stopped()) try {
                      io_.run();
                  } catch (const std::exception&) {
                      ++thrown;
                      sidecar_.handle_failure();
                  }
          }) {}
    ~SidecarThread() {
        io_.stop();
        thread_.join();
    }
    SidecarThread(const SidecarThread&) = delete;
    SidecarThread& operator=(const SidecarThread&) = delete;

    // Executes `call` with the sidecar in the sidecar's thread, and returns the result.
    template <class Call>
    auto ask(Call call) {
        std::packaged_task<decltype(call(std::declval<Sidecar&>()))()> task([&] { return call(sidecar_); });
        auto result = task.get_future();
        asio::post(io_, [&] { task(); });
        return result.get();
    }
    // Waits until the handlers that are ready have run, and those that they post.
    void settle() {
        constexpr int kTurns = 4;
        for (int i = 0; i < kTurns; ++i) ask([](Sidecar&) {});
    }
    net::Tcp::endpoint address() const { return sidecar_.address(); }

    std::atomic<int> thrown = 0;  // number of exceptions that have reached the event loop

private:
    asio::io_context io_;
    Sidecar sidecar_;
    std::thread thread_;
};

// The tests let a single allocation fail while a request is handled: the first one, then the second one, and
// so on, until the request needs no further allocation.
struct AllocationFailure : FinalAnswer {
    static constexpr int kShortTimeout = 40;  // ms, time-out of the requests
    ScriptedServer::Script reject_annotate = [](const auto& r) {
        return r["Request-Class"] == "annotate" ? Reply{response("503 Full", "", "Not-Started: 1\r\n")}
                                                : Reply{response("200 OK", "served")};
    };
    // Returns for each class the numbers of the failed allocations with which a request had no response in
    // time. With `only_events`, leaves out those whose exception reached the event loop and those whose
    // request the sidecar no longer holds.
    std::map<std::string, std::vector<long>> unanswered(const std::vector<std::string>& classes,
                                                        bool only_events) {
        std::map<std::string, std::vector<long>> unanswered_by_class;
        for (const std::string& kind : classes) {
            bool failed = true;
            for (long nth = 0; failed && nth < 400; ++nth) {
                SidecarThread sidecar(config());
                TestClient client(io, sidecar.address());
                sidecar.settle();
                const int thrown = sidecar.thrown;
                const auto is_excluded = [&] { return only_events && sidecar.thrown != thrown; };
                std::size_t sent = 0;
                const auto is_finished = [&] { return client.answers.size() >= sent || client.ended; };
                const auto send = [&](const std::string& bytes) {
                    if (!is_finished() || client.ended || is_excluded()) return;
                    client.send(bytes);
                    ++sent;
                    const auto deadline = SteadyClock::now() + milliseconds(kShortTimeout) + kSlack;
                    until([&] { return is_finished() || SteadyClock::now() > deadline || is_excluded(); });
                    sidecar.settle();
                };
                sidecar.ask([&](Sidecar&) { allocations_left = nth; });
                send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                send(request(kind, kind + std::to_string(nth), kShortTimeout));
                failed = sidecar.ask([](Sidecar&) { return std::exchange(allocations_left, -1) < 0; });
                const bool held = sidecar.ask([](Sidecar& s) { return s.request_count() > 0; });
                send(request(kind, kind + std::to_string(nth) + "-next", kShortTimeout));
                if (!is_finished() && !is_excluded() && (held || !only_events))
                    unanswered_by_class[kind].push_back(nth);
            }
            EXPECT_FALSE(failed);
        }
        return unanswered_by_class;
    }
    config::Config config() const {
        return config::read_config(
            config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}, {"s-b", b.address()}})));
    }
};

TEST_F(AllocationFailure, RequestIsAnsweredIfAnEventFails) {
    a.script = b.script = reject_annotate;
    EXPECT_EQ(unanswered({"listen", "deposit"}, true), (std::map<std::string, std::vector<long>>()));
}

TEST_F(AllocationFailure, RequestIsAnsweredIfAnyAllocationFails) {
    a.script = b.script = reject_annotate;
    EXPECT_EQ(unanswered(kinds, false), (std::map<std::string, std::vector<long>>()));
}

// An allocation fails while a connection is accepted or its first request is handled. That connection must be
// served or closed, and the next one must be served.
TEST_F(AllocationFailure, ConnectionIsServedOrClosedAndNextOneIsServed) {
    constexpr long kSteps = 40;  // One machine needed 18 allocations from the connection to the response.
    const std::string health = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    for (long nth = 0; nth < kSteps; ++nth) {
        SidecarThread sidecar(config());
        sidecar.settle();
        sidecar.ask([&](Sidecar&) { allocations_left = nth; });
        TestClient first(io, sidecar.address());
        first.send(health);
        const auto is_finished = [&](const TestClient& c) { return !c.answers.empty() || c.ended; };
        const auto deadline = SteadyClock::now() + kSlack;
        until([&] { return is_finished(first) || SteadyClock::now() > deadline; });
        EXPECT_TRUE(is_finished(first)) << nth;
        sidecar.ask([](Sidecar&) { allocations_left = -1; });
        TestClient next(io, sidecar.address());
        next.send(health);
        const auto next_deadline = SteadyClock::now() + kSlack;
        until([&] { return is_finished(next) || SteadyClock::now() > next_deadline; });
        EXPECT_EQ(next.answers.size(), 1u) << nth;
    }
}

// An allocation fails while an operator's call is handled. That call may remain without a response; the next
// one must be answered.
TEST_F(AllocationFailure, OperatorCallIsAnsweredAfterAFailedOne) {
    constexpr long kSteps = 40;  // More than the number of allocations for a call.
    const std::string call = "GET /ready HTTP/1.1\r\nHost: operator\r\n\r\n";
    for (long nth = 0; nth < kSteps; ++nth) {
        config::Config config = this->config();
        config.operators = any_port;
        SidecarThread sidecar(std::move(config));
        const net::Tcp::endpoint address = *sidecar.ask([](Sidecar& s) { return s.operator_address(); });
        sidecar.settle();
        sidecar.ask([&](Sidecar&) { allocations_left = nth; });
        TestClient first(io, address);
        first.send(call);
        sidecar.settle();
        sidecar.ask([](Sidecar&) { allocations_left = -1; });
        TestClient next(io, address);
        next.send(call);
        const auto deadline = SteadyClock::now() + kSlack;
        until([&] { return !next.answers.empty() || SteadyClock::now() > deadline; });
        EXPECT_EQ(next.answers.size(), 1u) << nth;
    }
}

}  // namespace
}  // namespace mothring::node::test
