// The configuration, and the program as the platform starts and ends it.
#include <fcntl.h>
#include <sys/ptrace.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>

#include <sstream>
#include <utility>

#include "config/options.hpp"
#include "program_rig.hpp"

namespace mothring::node::test {
namespace {

const std::string good =
    config_json("127.0.0.1:9", list_json(41, true, {{"s-a", "127.0.0.1:9", "Terminating"}}));

TEST(Configuration, IsReadWithItsSettings) {
    const config::Config config = config::read_config(good);
    EXPECT_EQ(config.name, "n1");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.discovery.port(), 9);
    EXPECT_EQ(config.connect_timeout, 150);
    EXPECT_TRUE(config.may_tell);
    ASSERT_EQ(config.site.settings.classes.size(), 3u);
    EXPECT_EQ(config.site.settings.classes[1].idempotency, Idempotency::never);
    EXPECT_EQ(config.site.settings.classes[2].dedup_scope, DedupScope::all);
    EXPECT_EQ(config.site.settings.classes[2].dedup_window, 3000);
    EXPECT_EQ(config.site.settings.slow_start_min_capacity, 0.16);
    EXPECT_EQ(config.site.settings.fleet_size, 3u);
    EXPECT_EQ(config.site.zones.at(1), "hall-b");
    EXPECT_FALSE(config.site.settings.must_subscribe);
    ASSERT_EQ(config.known.members.size(), 1u);
    EXPECT_EQ(config.known.members[0].state, EndpointState::draining);
}

TEST(Configuration, NamesTheKeyThatIsWrong) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {replace_first(good, "\"seed\":\"8c", "\"seed\":\"xy"), "seed"},
        {replace_first(good, "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "listen"},
        {replace_first(good, "\"listen\"", "\"unlisten\""), "listen"},
        {replace_first(good, "\"name\":\"n1\"", "\"name\":7"), "name"},
        {replace_first(good, "\"known\"", "\"unknown\""), "known"},
        {replace_first(good, "\"effect\":\"once\"", "\"effect\":\"twice\""), "classes.1.effect"},
        {replace_first(good, "\"on-time-ms\":300.0", "\"on-time-ms\":\"soon\""), "classes.1.on-time-ms"},
        {replace_first(good, "\"settings\"", "\"unsettled\""), "settings"}};
    for (const auto& [text, key] : cases) try {
            config::read_config(text);
            FAIL() << "taken: " << key;
        } catch (const config::ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find("'" + key + "'"), std::string::npos) << error.what();
        }
    EXPECT_THROW(config::read_config("{\"name\""), config::ConfigError);
}

TEST(Options, NameTheKeyTheLineAndTheExpectedType) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {"[log]\nlevel = 3\n", "o.toml:2: 'log.level' expects a string"},
        {"[log]\nlevel = \"loud\"\n", "o.toml:2: 'log.level' is not one of"},
        {"\n[sidecar]\noperater = \"127.0.0.1:1\"\n", "o.toml:3: 'sidecar.operater' is not a known key"},
        {"[sidecar]\noperator = \"there\"\n", "o.toml:2: 'sidecar.operator' is not ADDRESS:PORT"},
        {"[sidecar]\nclock_skew_ms = \"1\"\n", "o.toml:2: 'sidecar.clock_skew_ms' expects a number from"},
        {"[clutter]\n", "o.toml:1: 'clutter' is not a known table"},
        {"[cluster]\n", "o.toml:1: 'cluster.bind' is missing"},
        {"[cluster]\nbind = \"127.0.0.1:1\"\nkey = \"short\"\n",
         "o.toml:3: 'cluster.key' expects a shared key of 16 bytes"},
        {"[affinity]\nrules = [{ class = \"*\", key = \"header:\" }]\n",
         "o.toml:2: 'affinity.rules.key' expects \"path\" or \"header:NAME\""},
        {"log = 1\n", "o.toml:1: 'log' expects a table"},
        {"[log\n", "o.toml:1: "}};
    for (const auto& [text, expected] : cases) try {
            config::read_options(text, "o.toml");
            FAIL() << "taken: " << text;
        } catch (const config::ConfigError& error) {
            EXPECT_EQ(std::string(error.what()).rfind(expected, 0), 0u) << error.what();
        }
    const config::Options options = config::read_options(
        "[platform]\nconfig = \"lb.json\"\n[sidecar]\noperator = \"127.0.0.1:7\"\n[log]\nlevel = \"debug\"\n",
        "/etc/mothring/o.toml");
    EXPECT_EQ(options.platform_config, std::filesystem::path("/etc/mothring/lb.json"));
    ASSERT_TRUE(options.operators);
    EXPECT_EQ(options.operators->port(), 7);
    EXPECT_EQ(options.log_level, net::LogLevel::debug);
    EXPECT_EQ(config::read_options("", "o.toml").log_level, net::LogLevel::info);  // absent: today's
}

TEST_F(Program, EndsWithOneLineWhenItsConfigurationIsWrong) {
    EXPECT_EQ(exit_status_of(start(replace_first(good, "\"seed\"", "\"unseeded\""))), 1);
    std::ifstream log(folder / "log");
    std::string line, more;
    std::getline(log, line);
    EXPECT_NE(line.find("'seed'"), std::string::npos) << line;
    EXPECT_FALSE(std::getline(log, more)) << more;
}

TEST_F(Program, ChecksAConfigurationWithExitTwoNamingTheKey) {
    EXPECT_EQ(check_config("[sidecar]\noperator = 5\n"), 2);
    std::ifstream log(folder / "log");
    std::string line;
    std::getline(log, line);
    EXPECT_NE(line.find("sidecar.toml:2: 'sidecar.operator' expects a string"), std::string::npos) << line;
    EXPECT_EQ(check_config("[log]\nlevel = \"warn\"\n"), 0);
}

// Two processes of one sidecar, beside clients that ask without a pause.
struct Upgrade : Program {
    asio::io_context io;
    ScriptedServer server{io, [](const auto&) { return Reply{response("200 OK", "served")}; }};
    ScriptedServer agent{io, [](const auto&) { return Reply{}; }};
    net::Tcp::endpoint listen = free_address();
    std::vector<pid_t> children;

    ~Upgrade() override {
        for (const pid_t child : children)
            if (child > 0) ::kill(child, SIGKILL), ::waitpid(child, nullptr, 0);
    }
    struct Process {
        std::size_t index;
        net::Tcp::endpoint operators;
    };
    Process begin(const std::string& log = "log") {
        const net::Tcp::endpoint operators = free_address();
        const auto text = [](const net::Tcp::endpoint& at) {
            return "127.0.0.1:" + std::to_string(at.port());
        };
        children.push_back(
            start(replace_first(config_json(agent.address(), list_json(1, true, {{"s-a", server.address()}}),
                                            "1024", text(listen)),
                                "\"future\":[1]", "\"operator\":\"" + text(operators) + "\""),
                  log));
        Process process{children.size() - 1, operators};
        run_until(io, [&] { return status(process, "/ready") == 200; });
        return process;
    }
    TestClient::Answer call(const Process& process, const std::string& path) {
        try {
            TestClient caller(io, process.operators);
            caller.send("GET " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
            run_until(io, [&] { return caller.ended; });
            return caller.answers.empty() ? TestClient::Answer{} : caller.answers.front();
        } catch (const boost::system::system_error&) {
            return {};  // not up, or no more
        }
    }
    unsigned status(const Process& process, const std::string& path) {
        const auto answer = call(process, path);
        return answer[http::field::server].empty() && answer.body().empty() ? 0 : answer.result_int();
    }
    std::string metrics(const Process& process) { return call(process, "/metrics").body(); }
    bool ended(const Process& process) {
        pid_t& child = children[process.index];
        if (child > 0 && ::waitpid(child, nullptr, WNOHANG) == child) child = 0;
        return child == 0;
    }
    void end(const Process& process, int signal) {
        ASSERT_GT(children[process.index], 0) << "it has ended";  // else the signal would go to others
        ::kill(children[process.index], signal);
        run_until(io, [&] { return (signal == SIGKILL || (turn(), true)) && ended(process); });
    }

    // One request each is always out; `lost` counts connections that ended without the answer owed.
    std::list<TestClient> asking;
    std::size_t asked = 0, answered = 0, lost = 0;
    void turn() {
        for (auto c = asking.begin(); c != asking.end();) {
            if (c->answers.empty() && !c->ended) {
                ++c;
                continue;
            }
            if (c->answers.empty())
                ++lost;
            else
                answered += c->answers.front().result_int() == 200;
            if (!c->answers.empty() && c->answers.front().keep_alive() && asked % 50 != 0) {
                c->answers.clear();
                c->send(request("deposit", "id-" + std::to_string(asked++)));
                ++c;
            } else {
                c = asking.erase(c);
            }
        }
        while (asking.size() < 6) {
            asking.emplace_back(io, listen);
            asking.back().send(request("deposit", "id-" + std::to_string(asked++)));
        }
    }
    void serve(std::size_t more) {
        const std::size_t enough = answered + more;
        run_until(io, [&] { return turn(), answered >= enough; });
    }
    void expect_nothing_lost() {
        EXPECT_EQ(lost, 0u);
        EXPECT_EQ(answered, asked - asking.size());
        EXPECT_EQ(server.requests.size() + asking.size() >= asked, true);
    }
};

TEST_F(Upgrade, ASecondProcessTakesOverAndNothingIsLost) {
    const Process first = begin();
    serve(200);
    const Process second = begin();
    serve(200);
    EXPECT_EQ(metrics(second).find("\"served\":0,\"refused\":0,\"failed\":0},\"annotate\""),
              std::string::npos)
        << "new connections go to the second: " << metrics(second);
    end(first, SIGTERM);
    serve(200);
    expect_nothing_lost();
    const Process third = begin();  // and once more
    end(second, SIGTERM);
    serve(100);
    expect_nothing_lost();
    EXPECT_EQ(status(third, "/ready"), 200u);
}

TEST_F(Upgrade, WhicheverDiesOutrightTheOtherServesInFull) {
    const Process first = begin();
    const Process second = begin();
    end(second, SIGKILL);
    asking.clear(), asked = answered = lost = 0;
    serve(100);
    expect_nothing_lost();
    const Process third = begin();
    end(first, SIGKILL);
    asking.clear(), asked = answered = lost = 0;
    serve(100);
    expect_nothing_lost();
    EXPECT_EQ(status(third, "/ready"), 200u);
}

// The folder for the lock is missing when both start: neither may take the whole of the limits, nor may
// either once the folder is there and they see each other.
TEST_F(Upgrade, ProcessesThatCannotHaveTheirLockTakeHalfUntilOneIsAlone) {
    temporary_folder = folder / "later";
    const Process first = begin("first"), second = begin("second");
    run_until(io, [&] {
        return count_logged("first", "hot_restart.unknown") == 1 &&
               count_logged("second", "hot_restart.unknown") == 1;
    });
    serve(50);
    std::filesystem::create_directory(temporary_folder);
    run_until(io, [&] {
        return count_logged("first", "hot_restart.shared") == 1 &&
               count_logged("second", "hot_restart.shared") == 1;
    });
    EXPECT_EQ(count_logged("first", "hot_restart.alone") + count_logged("second", "hot_restart.alone"), 0u);
    EXPECT_EQ(count_logged("first", "hot_restart.unknown") + count_logged("second", "hot_restart.unknown"),
              2u)
        << "a line for each change, not for each look";
    end(first, SIGTERM);
    run_until(io, [&] { return turn(), count_logged("second", "hot_restart.alone") == 1; });
    serve(50);
    expect_nothing_lost();
    EXPECT_EQ(status(second, "/ready"), 200u);
}

// Discovery is down while idle clients, who never go by themselves, take all that clients may have, some with
// bytes of a further request that stay unread. The process is held to the descriptors that it was told of.
TEST_F(Upgrade, IdleClientsTakeNoDescriptorFromDiscoveryOrNewcomers) {
    const net::Tcp::endpoint discovery = agent.endpoint(), operators = free_address();
    agent.close();
    const auto text = [](const net::Tcp::endpoint& at) { return "127.0.0.1:" + std::to_string(at.port()); };
    children.push_back(start(replace_first(
        config_json(text(discovery), list_json(1, true, {{"s-a", server.address()}}), "256", text(listen)),
        "\"future\":[1]", "\"operator\":\"" + text(operators) + "\"")));
    const Process process{0, operators};
    run_until(io, [&] { return status(process, "/ready") == 200; });
    const rlimit limit{256, 256};
    ASSERT_EQ(::prlimit(children[0], RLIMIT_NOFILE, &limit, nullptr), 0);
    std::list<net::Tcp::socket> idle;
    for (int i = 0; i < 300; ++i) {
        idle.emplace_back(io).connect(listen);
        const std::string whole = request("listen", "id-" + std::to_string(i));
        asio::write(idle.back(), asio::buffer(i % 3 == 0 ? whole + whole.substr(0, 30) : whole));
    }
    run_until(io, [&] { return server.requests.size() >= 116; });
    const auto came = std::chrono::steady_clock::now();
    TestClient newcomer(io, listen);
    newcomer.send(request("listen", "id-new"));
    run_until(io, [&] { return !newcomer.answers.empty() || newcomer.ended; });
    EXPECT_EQ(newcomer.answers.size(), 1u);
    EXPECT_LE(std::chrono::steady_clock::now() - came, std::chrono::seconds(3));
    ScriptedServer back(
        io, [](const auto&) { return Reply{}; }, discovery);
    run_until(io, [&] { return !back.requests.empty(); });
    EXPECT_EQ(status(process, "/ready"), 200u);
    back.send(0, response("200 OK", list_json(2, false, {{"s-a", server.address(), "Terminating"}})));
    run_until(io, [&] { return back.requests.size() == 2; });
    EXPECT_FALSE(ended(process));
}

TEST_F(Upgrade, WithoutAnOperatorAddressASecondStartFails) {
    const std::string config = config_json(agent.address(), list_json(1, true, {{"s-a", server.address()}}),
                                           "1024", "127.0.0.1:" + std::to_string(listen.port()));
    children.push_back(start(config));
    run_until(io, [&] { return !agent.requests.empty(); });
    EXPECT_EQ(exit_status_of(start(config)), 1);
}

TEST_F(Upgrade, AnOperatorAddressThatCannotBeHadIsSaidAtTheStart) {
    net::Tcp::acceptor taken(io, any_port);
    EXPECT_EQ(exit_status_of(start(replace_first(
                  good, "\"future\":[1]",
                  "\"operator\":\"127.0.0.1:" + std::to_string(taken.local_endpoint().port()) + "\""))),
              1);
    std::ifstream log(folder / "log");
    std::string line;
    std::getline(log, line);
    EXPECT_NE(line.find("'operator'"), std::string::npos) << line;
    EXPECT_EQ(exit_status_of(start(replace_first(good, "\"future\":[1]", "\"operator\":\"there\""))), 1);
}

TEST_F(Program, FinishesItsWorkOnSigtermAndExitsWithZero) {
    asio::io_context io;
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    const net::Tcp::endpoint listen = free_address();
    const pid_t child = start(config_json(server.address(), list_json(1, true, {{"s-a", server.address()}}),
                                          "1024", "127.0.0.1:" + std::to_string(listen.port())));
    std::optional<TestClient> client;
    run_until(io, [&] {
        try {
            client.emplace(io, listen);
            return true;
        } catch (const boost::system::system_error&) {
            return false;  // not up yet
        }
    });
    client->send(request("listen", "id-1"));
    const auto held = [&] {
        for (std::size_t i = 0; i < server.connections.size(); ++i)
            if (const auto& c = server.connections[i]; c->requests > 0 && !c->ended) {
                for (const auto& r : server.requests)
                    if (r["Request-Id"] == "id-1") return true;
            }
        return false;
    };
    run_until(io, held);
    ::kill(child, SIGTERM);
    std::optional<TestClient> late;
    late.emplace(io, listen);
    late->send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    run_until(io, [&] { return late->ended; });  // answered with the connection's end: it drains
    EXPECT_EQ(late->answers.size(), 1u);
    for (std::size_t i = 0; i < server.connections.size(); ++i)  // the agent's and the server's alike
        server.send(i, response("200 OK", "held"));
    run_until(io, [&] { return client->ended; });
    ASSERT_EQ(client->answers.size(), 1u);
    EXPECT_EQ(client->answers[0].body(), "held");
    EXPECT_EQ(exit_status_of(child), 0);
}

// Lets a child that has asked to be traced run until it has begun to listen; false: it has not, and has
// ended.
bool runs_until_it_listens(pid_t child) {
    constexpr int kMostCalls = 100000;  // of the system, by a start: some hundreds
    int status = 0;
    if (::waitpid(child, &status, 0) != child || !WIFSTOPPED(status)) return false;  // at its exec
    ::ptrace(PTRACE_SETOPTIONS, child, nullptr, PTRACE_O_EXITKILL | PTRACE_O_TRACESYSGOOD);
    bool listening = false;
    for (int calls = 0; calls < kMostCalls; ++calls) {
        if (::ptrace(PTRACE_SYSCALL, child, nullptr, nullptr) != 0) return false;
        if (::waitpid(child, &status, 0) != child || !WIFSTOPPED(status)) return false;
        __ptrace_syscall_info call{};
        ::ptrace(PTRACE_GET_SYSCALL_INFO, child, sizeof call, &call);
        if (call.op == PTRACE_SYSCALL_INFO_ENTRY) listening = call.entry.nr == SYS_listen;
        if (call.op == PTRACE_SYSCALL_INFO_EXIT && listening) return call.exit.rval == 0;
    }
    return false;
}

// It has begun to listen, and there it stands until the test has sent its signals.
TEST_F(Program, ASignalRightAfterItListensIsNotItsEnd) {
    asio::io_context io;
    ScriptedServer agent(io, [](const auto&) { return Reply{}; });
    const net::Tcp::endpoint listen = free_address();
    const pid_t child = start_with(config_json(agent.address(), list_json(1, true, {}), "1024",
                                               "127.0.0.1:" + std::to_string(listen.port())),
                                   [] { return ::ptrace(PTRACE_TRACEME, 0, nullptr, nullptr) == 0; });
    ASSERT_TRUE(runs_until_it_listens(child));
    net::Tcp::socket client(io);
    client.connect(listen);
    ::kill(child, SIGHUP);
    ::kill(child, SIGTERM);
    ::kill(child, SIGTERM);
    ::ptrace(PTRACE_DETACH, child, nullptr, nullptr);
    int status = 0;
    run_until(io, [&] { return ::waitpid(child, &status, WNOHANG) == child; });
    EXPECT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

// The program with its log going to somebody who reads it or not.
struct Logging : Program {
    asio::io_context io;
    ScriptedServer server{io, [](const auto&) { return Reply{response("200 OK", "served")}; }};
    ScriptedServer agent{io, [](const auto&) { return Reply{}; }};
    const net::Tcp::endpoint listen = free_address();
    std::array<int, 2> ends{-1, -1};  // the reader's, and the program's
    pid_t child = -1;

    ~Logging() override {
        if (child > 0) ::kill(child, SIGKILL), ::waitpid(child, nullptr, 0);
        for (const int end : ends) ::close(end);
    }
    void open_pipe() { ASSERT_EQ(::pipe2(ends.data(), O_CLOEXEC), 0); }
    void open_sockets() { ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()), 0); }
    // Until there is no room for a byte more; the program finds it blocking, as it would be.
    void fill() {
        ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
        const std::string many(4096, 'x');
        for (const std::size_t size : {many.size(), std::size_t{1}})
            while (::write(ends[1], many.data(), size) > 0) {
            }
        ::fcntl(ends[1], F_SETFL, 0);
    }
    void begin(const std::function<bool()>& set_up) {
        child = start_with(config_json(agent.address(), list_json(1, true, {{"s-a", server.address()}}),
                                       "1024", "127.0.0.1:" + std::to_string(listen.port())),
                           set_up);
    }
    void begin_with_pipe() {
        begin([this] { return ::dup2(ends[1], STDERR_FILENO) == STDERR_FILENO; });
    }
    void expect_it_serves() {
        std::optional<TestClient> client;
        run_until(io, [&] {
            try {
                client.emplace(io, listen);
            } catch (const boost::system::system_error&) {  // not up yet
            }
            return client || ended();
        });
        ASSERT_TRUE(client) << "it has ended";
        client->send(request("deposit", "id-" + std::to_string(server.requests.size())));
        run_until(io, [&] { return !client->answers.empty() || client->ended; });
        ASSERT_EQ(client->answers.size(), 1u);
        EXPECT_EQ(client->answers[0].result_int(), 200u);
    }
    bool ended() {
        if (child > 0 && ::waitpid(child, &status, WNOHANG) == child) child = -1;
        return child <= 0;
    }
    // Never to any other process: of one that has ended the number is -1, which means all.
    void signal(int number) {
        ASSERT_FALSE(ended());
        ::kill(child, number);
    }
    void expect_it_ends_well() {
        ASSERT_NO_FATAL_FAILURE(signal(SIGTERM));
        run_until(io, [&] { return ended(); });
        EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    }
    // Lines are dropped while there is no room, told of when there is, and none is cut.
    void expect_it_goes_on_without_a_reader() {
        fill();
        begin_with_pipe();
        ASSERT_NO_FATAL_FAILURE(expect_it_serves());
        std::string text;
        std::array<char, 65536> piece{};
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        const auto read_all = [&] {
            for (ssize_t count; (count = ::read(ends[0], piece.data(), piece.size())) > 0;)
                text.append(piece.data(), static_cast<std::size_t>(count));
        };
        read_all();
        std::ofstream(folder / "config.json") << "{\"name\"";
        ASSERT_NO_FATAL_FAILURE(signal(SIGHUP));
        run_until(io, [&] { return read_all(), text.find("config.reload_failed") != std::string::npos; });
        std::istringstream lines(text.substr(std::min(text.size(), text.find_first_not_of('x'))));
        std::string line;
        std::getline(lines, line);
        const auto told = nlohmann::json::parse(line, nullptr, false);
        ASSERT_TRUE(told.is_object()) << line;
        EXPECT_EQ(told.value("event", ""), "log.dropped") << line;
        EXPECT_EQ(told.value("lines", 0), 1) << "that it listens: " << line;
        std::getline(lines, line);
        EXPECT_EQ(nlohmann::json::parse(line, nullptr, false).value("event", ""), "config.reload_failed")
            << line;
        expect_it_ends_well();
    }
    int status = 0;
};

TEST_F(Logging, AFullPipeHoldsUpNoRequest) {
    open_pipe();
    expect_it_goes_on_without_a_reader();
}

TEST_F(Logging, AFullSocketHoldsUpNoRequest) {
    open_sockets();
    expect_it_goes_on_without_a_reader();
}

TEST_F(Logging, AReaderThatHasGoneIsNotItsEnd) {
    open_pipe();
    begin([this] { return ::close(ends[0]) == 0 && ::dup2(ends[1], STDERR_FILENO) == STDERR_FILENO; });
    ::close(std::exchange(ends[0], -1));
    ASSERT_NO_FATAL_FAILURE(expect_it_serves());
    expect_it_ends_well();
}

TEST_F(Logging, AFullDiskIsNotItsEnd) {
    begin([] { return std::freopen("/dev/full", "w", stderr) != nullptr; });
    ASSERT_NO_FATAL_FAILURE(expect_it_serves());
    expect_it_ends_well();
}

// Nothing of ours may take the numbers of the standard descriptors: log lines would go there.
TEST_F(Logging, ClosedStandardDescriptorsAreGivenToNoSocket) {
    begin([] { return ::close(0) == 0 && ::close(1) == 0 && ::close(2) == 0; });
    ASSERT_NO_FATAL_FAILURE(expect_it_serves());
    for (const int number : {0, 1, 2})
        EXPECT_EQ(
            std::filesystem::read_symlink("/proc/" + std::to_string(child) + "/fd/" + std::to_string(number)),
            "/dev/null");
    expect_it_ends_well();
}

TEST_F(Program, FollowsDiscoveryOnSighupAndSurvivesARubbishFile) {
    asio::io_context io;
    ScriptedServer first(io, [](const auto&) { return Reply{}; }), second(io, first.script);
    const auto config = [](const ScriptedServer& discovery) {
        return config_json(discovery.address(), list_json(1, true, {{"s-a", "127.0.0.1:9"}}));
    };
    const pid_t child = start(config(first));
    run_until(io, [&] { return first.requests.size() == 1; });
    std::ofstream(folder / "config.json") << "{\"name\"";
    ::kill(child, SIGHUP);
    run_until(io, [&] {
        std::ifstream log(folder / "log");
        return std::string(std::istreambuf_iterator<char>(log), {}).find("config.reload_failed") !=
               std::string::npos;
    });
    {  // one JSON object a line, with the time, level, event and sidecar
        std::ifstream log(folder / "log");
        std::string line;
        std::getline(log, line);
        EXPECT_EQ(nlohmann::json::parse(line, nullptr, false).value("event", ""), "sidecar.listening")
            << line;
        std::getline(log, line);
        const auto json = nlohmann::json::parse(line, nullptr, false);
        ASSERT_TRUE(json.is_object()) << line;
        EXPECT_EQ(json.value("event", ""), "config.reload_failed") << line;
        EXPECT_EQ(json.value("level", ""), "error") << line;
        EXPECT_EQ(json.value("sidecar", ""), "n1") << line;
        EXPECT_EQ(json.value("ts", "").size(), std::string("2026-12-01T21:00:00.123Z").size()) << line;
    }
    std::ofstream(folder / "config.json") << config(second);
    ::kill(child, SIGHUP);
    run_until(io, [&] { return second.requests.size() == 1 && first.ended_count() == 1; });
    ::kill(child, SIGTERM);
    EXPECT_EQ(exit_status_of(child), 0);
}

// One new configuration after another, every third one written by half when it is told of, while requests go
// on: each has its answer, the last whole one counts, and no descriptor is left behind.
TEST_F(Program, ManyNewConfigurationsInARowCostNoRequestAndTheLastOneCounts) {
    constexpr int kConfigurations = 99;
    asio::io_context io;
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK", "served")}; });
    ScriptedServer first(io, [](const auto&) { return Reply{}; }), second(io, first.script);
    const net::Tcp::endpoint listen = free_address();
    const auto config = [&](const ScriptedServer& discovery) {
        return config_json(discovery.address(), list_json(1, true, {{"s-a", server.address()}}), "1024",
                           "127.0.0.1:" + std::to_string(listen.port()));
    };
    const pid_t child = start(config(first));
    run_until(io, [&] { return first.requests.size() == 1; });
    TestClient client(io, listen);
    std::size_t answers = 0;
    const auto ask = [&] {
        client.send(request("listen", "id-" + std::to_string(++answers)));
        run_until(io, [&] { return client.answers.size() == answers || client.ended; });
        ASSERT_EQ(client.answers.size(), answers);
        EXPECT_EQ(client.answers.back().result_int(), 200u);
    };
    const auto open_to = [](const ScriptedServer& s) { return s.connections.size() - s.ended_count(); };
    const auto other_descriptors = [&] {
        const std::filesystem::directory_iterator all("/proc/" + std::to_string(child) + "/fd"), end;
        return static_cast<std::size_t>(std::distance(all, end)) - open_to(server);
    };
    ASSERT_NO_FATAL_FAILURE(ask());
    const std::size_t before = other_descriptors();
    for (int i = 0; i < kConfigurations; ++i) {
        const std::string text = config(i % 2 == 0 ? second : first);
        const bool half = i % 3 == 1;
        std::ofstream(folder / "config.json") << (half ? text.substr(0, text.size() / 2) : text);
        ::kill(child, SIGHUP);
        ASSERT_NO_FATAL_FAILURE(ask());
    }
    run_until(io,
              [&] { return open_to(second) == 1 && open_to(first) == 0 && other_descriptors() == before; });
    ::kill(child, SIGTERM);
    EXPECT_EQ(exit_status_of(child), 0);
}

}  // namespace
}  // namespace mothring::node::test
