// Trouble at servers or with other clients frees no request of its final answer: each has exactly one by its
// deadline and half a second, or its connection is seen to end.
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

// How many allocations of this thread succeed before one fails; -1: none does.
thread_local long allocations_left = -1;

}  // namespace

// Not taken apart by the optimizer, which would see malloc and delete, or new and free.
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
constexpr int kTimeout = 150;        // ms, of each request here
constexpr milliseconds kSlack{500};  // by which an answer may come after its request's time

// What a server does with every request: it sends `bytes`, then `more` again and again, or ends.
struct Trouble {
    std::string name;
    std::string bytes;
    std::string more{};
    enum class End { none, close, reset } end = End::none;
    friend std::ostream& operator<<(std::ostream& out, const Trouble& trouble) { return out << trouble.name; }
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
std::string times(const std::string& text, int count) {
    std::string all;
    for (int i = 0; i < count; ++i) all += text;
    return all;
}

const std::vector<Trouble> troubles{
    {"Silence", ""},
    {"Close", "", "", Trouble::End::close},
    {"Reset", "", "", Trouble::End::reset},
    {"HalfAStatusLine", "HTTP/1.1 2"},
    {"HalfAStatusLineReset", "HTTP/1.1 2", "", Trouble::End::reset},
    {"HalfABody", ok + "Content-Length: 100\r\n\r\nhalf"},
    {"HalfABodyClose", ok + "Content-Length: 100\r\n\r\nhalf", "", Trouble::End::close},
    {"HalfABodyReset", ok + "Content-Length: 100\r\n\r\nhalf", "", Trouble::End::reset},
    {"HalfALargeBodyClose", ok + "Content-Length: 100000\r\n\r\n" + times("half", 5000), "",
     Trouble::End::close},
    {"HalfAChunkReset", ok + "Transfer-Encoding: chunked\r\n\r\n64\r\nhalf", "", Trouble::End::reset},
    {"LengthTooSmall", ok + "Content-Length: 3\r\n\r\nserved"},
    {"LengthNegative", ok + "Content-Length: -1\r\n\r\nserved"},
    {"LengthTooGreatANumber", ok + "Content-Length: 99999999999999999999\r\n\r\nserved"},
    {"LengthOverTheLargest", ok + "Content-Length: 999999999999\r\n\r\nserved"},
    {"TwoLengths", ok + "Content-Length: 6\r\nContent-Length: 7\r\n\r\nserved"},
    {"LengthAndChunks",
     ok + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n"},
    {"ChunkTooGreatANumber", ok + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nserved"},
    {"EndlessHeaders", ok, "X-More: and more\r\n"},
    {"EndlessHeaderLine", ok + "X-More: ", "and more "},
    {"EndlessHeadersAtOnce", ok + times("X-More: and more\r\n", 20000)},
    {"EndlessChunkExtension", ok + "Transfer-Encoding: chunked\r\n\r\n6;", "and-more"},
    {"EndlessTrailers", ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n",
     "X-More: and more\r\n"},
    {"EndlessInterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"EndlessInterimAnswersAtOnce", times("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 20000),
     "HTTP/1.1 100 Continue\r\n\r\n"},
    {"SwitchingProtocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: none\r\n\r\nrubbish"},
    {"SecondAnswerAtOnce", response("200 OK", "served") + response("200 OK", "second")},
    {"SecondAnswers", response("200 OK", "served"), response("200 OK", "second")},
    {"Rubbish", std::string("\0\1\2\3\r\n\r\n", 8), "\xff\xfe"},
    {"EmptyLines", "", "\r\n"},
    {"OtherProtocol", "SSH-2.0-OpenSSH_9.2\r\n"},
};

struct FinalAnswer : NetRig {
    struct Asked {
        TestClient* client;
        SteadyClock::time_point by;  // what it is owed
    };
    std::list<Asked> asked;

    Asked& send(const std::string& bytes, int timeout = kTimeout) {
        asked.push_back({&client(), SteadyClock::now() + milliseconds(timeout) + kSlack});
        asked.back().client->send(bytes);
        return asked.back();
    }
    static bool over(const Asked& a) { return !a.client->answers.empty() || a.client->ended; }
    // Until each has its answer, or its end, or is late; `meanwhile` goes on at each turn.
    void expect_each_in_time(const std::function<void()>& meanwhile = [] {}) {
        until([&] {
            meanwhile();
            return std::all_of(asked.begin(), asked.end(),
                               [](const Asked& a) { return over(a) || SteadyClock::now() > a.by; });
        });
        for (const Asked& a : asked) EXPECT_TRUE(over(a)) << "late, or never";
    }
    // What comes next on each connection that is left is the answer to what is asked next there.
    void expect_no_second() {
        for (const Asked& a : asked) {
            EXPECT_LE(a.client->answers.size(), 1u);
            if (a.client->ended || a.client->answers.empty() || !a.client->answers[0].keep_alive()) continue;
            try {
                a.client->send("POST /_health HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n");
            } catch (const boost::system::system_error&) {
                continue;  // it has ended by now
            }
            until([&] { return a.client->answers.size() > 1 || a.client->ended; });
            if (a.client->answers.size() > 1) {
                EXPECT_EQ(a.client->answers[1].result_int(), 405u);
            }
        }
    }
    void expect_nothing_left() {
        until([&] { return sidecar->request_count() == 0 && sidecar->metrics().in_flight == 0; });
        EXPECT_EQ(sidecar->gauges().requests, 0u);
    }
};

struct TroubledServer : FinalAnswer, testing::WithParamInterface<Trouble> {};

TEST_P(TroubledServer, EachRequestHasOneAnswerInTime) {
    const Trouble& trouble = GetParam();
    const std::string bytes = trouble.bytes;
    a.script = b.script = [&](const auto&) {
        return Reply{bytes, trouble.end == Trouble::End::close, trouble.end == Trouble::End::reset};
    };
    start();
    for (const std::string& kind : kinds)
        for (int i = 0; i < 4; ++i) send(request(kind, kind + std::to_string(i), kTimeout));
    expect_each_in_time([&] {
        for (ScriptedServer* server : {&a, &b})
            for (const auto& c : server->connections) {
                error_code ignored;
                if (trouble.more.empty() || c->requests == 0 || !c->socket.is_open()) continue;
                c->socket.non_blocking(true, ignored);
                c->socket.write_some(asio::buffer(trouble.more), ignored);
            }
    });
    EXPECT_GE(server_request_count(), 2u);
    expect_no_second();
    a.script = b.script = silence;
    expect_nothing_left();
}

INSTANTIATE_TEST_SUITE_P(Each, TroubledServer, testing::ValuesIn(troubles),
                         [](const auto& info) { return info.param.name; });

// A server answers, or breaks off, while its request is still coming.
TEST_F(FinalAnswer, AnAnswerBeforeTheRequestIsWholeIsTheOnlyOne) {
    const std::vector<std::string> replies{response("200 OK", "early"), response("500 Early"), ""};
    for (const std::string& reply : replies) {
        net::Tcp::acceptor early(io, any_port);
        std::list<net::Tcp::socket> taken;
        std::function<void()> accept = [&] {
            early.async_accept([&](error_code failed, net::Tcp::socket socket) {
                if (failed) return;
                taken.push_back(std::move(socket));
                error_code ignored;
                asio::write(taken.back(), asio::buffer(reply), ignored);
                if (reply.empty()) taken.back().close();
                accept();
            });
        };
        accept();
        asked.clear();
        start({{"s-early", "127.0.0.1:" + std::to_string(early.local_endpoint().port())}});
        const std::string whole = request("deposit", "id-1", kTimeout, std::string(1 << 20, 'a'));
        send(whole.substr(0, 200000));
        TestClient& c = *asked.back().client;
        until([&] { return !taken.empty() || over(asked.back()); });
        error_code ignored;
        try {
            c.send(whole.substr(200000));
        } catch (const boost::system::system_error&) {  // it has its answer, and its end
        }
        asked.back().by = SteadyClock::now() + milliseconds(kTimeout) + kSlack;
        expect_each_in_time();
        EXPECT_EQ(c.answers.size(), 1u) << reply;
        until([&] { return c.ended || c.answers[0].keep_alive(); });
        expect_nothing_left();
        sidecar.reset();
        early.close(ignored);
        io.poll();
    }
}

// The bound on clients is reached by those that idle, stop half-way, and don't read, while requests are out.
TEST_F(FinalAnswer, ACrowdAtTheBoundOnDescriptorsTakesNoAnswerAway) {
    a.script = [&](const auto& r) {
        return r["Request-Id"] == "large" ? Reply{response("200 OK", std::string(1 << 20, 'a'))} : Reply{};
    };
    start({{"s-a", a.address()}}, "48");  // twelve clients at a time
    for (int i = 0; i < 6; ++i) send(request("listen", "id-" + std::to_string(i), 600), 600);
    until([&] { return a.requests.size() == 6; });
    std::list<net::Tcp::socket> crowd;
    for (int i = 0; i < 60; ++i) {
        crowd.emplace_back(io).connect(sidecar->address());
        const std::string large = request("listen", "large");
        if (i < 2) asio::write(crowd.back(), asio::buffer(large));  // and its answer is never read
        if (i % 3 == 1) asio::write(crowd.back(), asio::buffer(large.substr(0, 30)));
        io.poll();
    }
    expect_each_in_time();
    for (const Asked& each : asked) EXPECT_EQ(each.client->answers.size(), 1u);
}

// All of the memory for bodies is taken by others whose bodies stand still.
TEST_F(FinalAnswer, BodiesThatStandStillTakeNoAnswerAway) {
    config::Config config =
        config::read_config(config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}})));
    config.memory_mb = 1;  // 256 KiB for bodies: four of full size
    sidecar.emplace(io, std::move(config));
    a.script = [](const auto&) { return Reply{response("200 OK", std::string(60000, 'a'))}; };
    std::list<net::Tcp::socket> still;
    for (int i = 0; i < 100; ++i) {
        still.emplace_back(io).connect(sidecar->address());
        const std::string whole =
            request("deposit", "still-" + std::to_string(i), 5000, std::string(1 << 20, 'a'));
        asio::write(still.back(), asio::buffer(whole.substr(0, 8000)));
    }
    until([&] { return sidecar->buffered_bytes() >= 256 * 1024; });
    for (int i = 0; i < 8; ++i)
        send(request("annotate", "id-" + std::to_string(i), 1000, std::string(60000, 'b')), 1000);
    expect_each_in_time();
    for (const Asked& each : asked) {
        ASSERT_EQ(each.client->answers.size(), 1u);
        EXPECT_EQ(each.client->answers[0].result_int(), 200u);
        EXPECT_EQ(each.client->answers[0].body().size(), 60000u);
    }
}

// One client sends as much as it can without a pause; each of its requests fails slowly or fast.
TEST_F(FinalAnswer, AFloodOfPipelinedRequestsKeepsNobodyWaiting) {
    start();
    net::Tcp::socket flood(io);
    flood.connect(sidecar->address());
    flood.non_blocking(true);
    const std::string many = times(request("listen", "flood"), 100);
    std::array<char, 65536> piece{};
    const auto push = [&] {
        error_code ignored;
        flood.write_some(asio::buffer(many), ignored);
        while (!ignored) flood.read_some(asio::buffer(piece), ignored);
    };
    until([&] { return push(), server_request_count() >= 200; });
    for (int i = 0; i < 8; ++i) send(request("deposit", "id-" + std::to_string(i), kTimeout));
    expect_each_in_time(push);
    for (const Asked& each : asked) {
        ASSERT_EQ(each.client->answers.size(), 1u);
        EXPECT_EQ(each.client->answers[0].result_int(), 200u);
    }
}

// ---- No memory ----

// The sidecar on a thread of its own, with a loop as the program's: what one handler throws ends no other's
// work.
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

    // What that call on the sidecar gives, made on its thread.
    template <class Call>
    auto ask(Call call) {
        std::packaged_task<decltype(call(std::declval<Sidecar&>()))()> task([&] { return call(sidecar_); });
        auto result = task.get_future();
        asio::post(io_, [&] { task(); });
        return result.get();
    }
    // Until what has begun by now, and what follows from it at once, has been done.
    void settle() {
        constexpr int kTurns = 4;
        for (int i = 0; i < kTurns; ++i) ask([](Sidecar&) {});
    }
    net::Tcp::endpoint address() const { return sidecar_.address(); }

    std::atomic<int> thrown = 0;  // exceptions that reached the loop

private:
    asio::io_context io_;
    Sidecar sidecar_;
    std::thread thread_;
};

// One allocation fails on the way of each request, the first one, the second one and so on until a request
// needs no more than that.
struct NoMemory : FinalAnswer {
    static constexpr int kShort = 40;  // ms, of each request
    ScriptedServer::Script full_for_keyed = [](const auto& r) {
        return r["Request-Class"] == "annotate" ? Reply{response("503 Full", "", "Not-Started: 1\r\n")}
                                                : Reply{response("200 OK", "served")};
    };
    // For each class what had no answer in time, by the number of the allocation that failed. Where only
    // events are meant, without those whose exception reached the loop and those that the sidecar has given
    // their answer.
    std::map<std::string, std::vector<long>> unanswered(const std::vector<std::string>& classes,
                                                        bool only_events) {
        std::map<std::string, std::vector<long>> lost;
        for (const std::string& kind : classes) {
            bool failed = true;
            for (long nth = 0; failed && nth < 400; ++nth) {
                SidecarThread sidecar(config());
                TestClient client(io, sidecar.address());
                sidecar.settle();
                const int thrown = sidecar.thrown;
                const auto passed_over = [&] { return only_events && sidecar.thrown != thrown; };
                std::size_t sent = 0;
                const auto over = [&] { return client.answers.size() >= sent || client.ended; };
                const auto send = [&](const std::string& bytes) {
                    if (!over() || client.ended || passed_over()) return;
                    client.send(bytes);
                    ++sent;
                    const auto by = SteadyClock::now() + milliseconds(kShort) + kSlack;
                    until([&] { return over() || SteadyClock::now() > by || passed_over(); });
                    sidecar.settle();
                };
                sidecar.ask([&](Sidecar&) { allocations_left = nth; });
                send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                send(request(kind, kind + std::to_string(nth), kShort));
                failed = sidecar.ask([](Sidecar&) { return std::exchange(allocations_left, -1) < 0; });
                const bool held = sidecar.ask([](Sidecar& s) { return s.request_count() > 0; });
                send(request(kind, kind + std::to_string(nth) + "-next", kShort));
                if (!over() && !passed_over() && (held || !only_events)) lost[kind].push_back(nth);
            }
            EXPECT_FALSE(failed);
        }
        return lost;
    }
    config::Config config() const {
        return config::read_config(
            config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}, {"s-b", b.address()}})));
    }
};

TEST_F(NoMemory, AnEventThatFailsTakesNoAnswerAway) {
    a.script = b.script = full_for_keyed;
    EXPECT_EQ(unanswered({"listen", "deposit"}, true), (std::map<std::string, std::vector<long>>()));
}

TEST_F(NoMemory, WhateverFailsTakesNoAnswerAway) {
    a.script = b.script = full_for_keyed;
    EXPECT_EQ(unanswered(kinds, false), (std::map<std::string, std::vector<long>>()));
}

// Each step of taking a new connection, and what follows: it is served or ended, and so is the next one.
TEST_F(NoMemory, AConnectionIsServedOrEndedAndTheNextOneIsServed) {
    constexpr long kSteps = 40;  // from the connection to the answer: 18 allocations, on one machine
    const std::string health = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    for (long nth = 0; nth < kSteps; ++nth) {
        SidecarThread sidecar(config());
        sidecar.settle();
        sidecar.ask([&](Sidecar&) { allocations_left = nth; });
        TestClient first(io, sidecar.address());
        first.send(health);
        const auto over = [&](const TestClient& c) { return !c.answers.empty() || c.ended; };
        const auto by = SteadyClock::now() + kSlack;
        until([&] { return over(first) || SteadyClock::now() > by; });
        EXPECT_TRUE(over(first)) << nth;
        sidecar.ask([](Sidecar&) { allocations_left = -1; });
        TestClient next(io, sidecar.address());
        next.send(health);
        const auto next_by = SteadyClock::now() + kSlack;
        until([&] { return over(next) || SteadyClock::now() > next_by; });
        EXPECT_EQ(next.answers.size(), 1u) << nth;
    }
}

// The same of operators: the first call may end with no answer.
TEST_F(NoMemory, AnOperatorsCallIsAnsweredAfterOneThatFailed) {
    constexpr long kSteps = 40;  // more than taking a call needs
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
        const auto by = SteadyClock::now() + kSlack;
        until([&] { return !next.answers.empty() || SteadyClock::now() > by; });
        EXPECT_EQ(next.answers.size(), 1u) << nth;
    }
}

}  // namespace
}  // namespace mothring::node::test
