// Tests the configuration, and the program as the platform starts, signals and ends it.
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

const std::string valid_config =
    config_json("127.0.0.1:9", list_json(41, true, {{"s-a", "127.0.0.1:9", "Terminating"}}));

TEST(Configuration, ReadsAddressesSettingsAndKnownServers) {
    const config::Config config = config::read_config(valid_config);
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

TEST(Configuration, ErrorNamesTheInvalidKey) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {replace_first(valid_config, "\"seed\":\"8c", "\"seed\":\"xy"), "seed"},
        {replace_first(valid_config, "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "listen"},
        {replace_first(valid_config, "\"listen\"", "\"unlisten\""), "listen"},
        {replace_first(valid_config, "\"name\":\"n1\"", "\"name\":7"), "name"},
        {replace_first(valid_config, "\"known\"", "\"unknown\""), "known"},
        {replace_first(valid_config, "\"effect\":\"once\"", "\"effect\":\"twice\""), "classes.1.effect"},
        {replace_first(valid_config, "\"on-time-ms\":300.0", "\"on-time-ms\":\"soon\""),
         "classes.1.on-time-ms"},
        {replace_first(valid_config, "\"settings\"", "\"unsettled\""), "settings"}};
    for (const auto& [text, key] : cases) try {
            config::read_config(text);
            FAIL() << "accepted although invalid: " << key;
        } catch (const config::ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find("'" + key + "'"), std::string::npos) << error.what();
        }
    EXPECT_THROW(config::read_config("{\"name\""), config::ConfigError);
}

TEST(Options, ErrorNamesTheKeyTheLineAndTheExpectedType) {
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
            FAIL() << "accepted although invalid: " << text;
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
    EXPECT_EQ(config::read_options("", "o.toml").log_level, net::LogLevel::info);  // the default
}

TEST_F(Program, ExitsWithOneLineOnAnInvalidConfiguration) {
    EXPECT_EQ(exit_status_of(start(replace_first(valid_config, "\"seed\"", "\"unseeded\""))), 1);
    std::ifstream log(folder / "log");
    std::string line, more;
    std::getline(log, line);
    EXPECT_NE(line.find("'seed'"), std::string::npos) << line;
    EXPECT_FALSE(std::getline(log, more)) << more;
}

TEST_F(Program, CheckConfigExitsWithTwoAndNamesTheInvalidKey) {
    EXPECT_EQ(check_config("[sidecar]\noperator = 5\n"), 2);
    std::ifstream log(folder / "log");
    std::string line;
    std::getline(log, line);
    EXPECT_NE(line.find("sidecar.toml:2: 'sidecar.operator' expects a string"), std::string::npos) << line;
    EXPECT_EQ(check_config("[log]\nlevel = \"warn\"\n"), 0);
}

// Runs several processes of one sidecar on the same port, while clients send requests without a pause.
struct ProgramHotRestart : Program {
    asio::io_context io;
    ScriptedServer server{io, [](const auto&) { return Reply{response("200 OK", "served")}; }};
    ScriptedServer agent{io, [](const auto&) { return Reply{}; }};
    net::Tcp::endpoint listen = free_address();
    std::vector<pid_t> children;

    ~ProgramHotRestart() override {
        for (const pid_t child : children)
            if (child > 0) ::kill(child, SIGKILL), ::waitpid(child, nullptr, 0);
    }
    struct Process {
        std::size_t index;
        net::Tcp::endpoint operators;
    };
    Process start_and_wait(const std::string& log = "log") {
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
    TestClient::Answer get(const Process& process, const std::string& path) {
        try {
            TestClient caller(io, process.operators);
            caller.send("GET " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
            run_until(io, [&] { return caller.ended; });
            return caller.answers.empty() ? TestClient::Answer{} : caller.answers.front();
        } catch (const boost::system::system_error&) {
            return {};  // the process does not listen
        }
    }
    unsigned status(const Process& process, const std::string& path) {
        const auto answer = get(process, path);
        return answer[http::field::server].empty() && answer.body().empty() ? 0 : answer.result_int();
    }
    std::string metrics(const Process& process) { return get(process, "/metrics").body(); }
    bool has_ended(const Process& process) {
        pid_t& child = children[process.index];
        if (child > 0 && ::waitpid(child, nullptr, WNOHANG) == child) child = 0;
        return child == 0;
    }
    void end(const Process& process, int signal) {
        // After the end of the process its entry is 0, with which kill() would signal the test itself.
        ASSERT_GT(children[process.index], 0) << "the process has ended";
        ::kill(children[process.index], signal);
        run_until(io, [&] { return (signal == SIGKILL || (advance_clients(), true)) && has_ended(process); });
    }

    // Each client always has one request in flight. `lost` counts connections that ended without the
    // response.
    std::list<TestClient> clients;
    std::size_t sent = 0, answered = 0, lost = 0;
    std::size_t last_id = 0;  // each request has an id of its own
    std::string next_request() {
        ++sent;
        return request("deposit", "id-" + std::to_string(++last_id));
    }
    // Sends the next request of each client that has its response, and replaces closed connections.
    void advance_clients() {
        for (auto c = clients.begin(); c != clients.end();) {
            if (c->answers.empty() && !c->ended) {
                ++c;
                continue;
            }
            if (c->answers.empty())
                ++lost;
            else
                answered += c->answers.front().result_int() == 200;
            if (!c->answers.empty() && c->answers.front().keep_alive() && sent % 50 != 0) {
                c->answers.clear();
                c->send(next_request());
                ++c;
            } else {
                c = clients.erase(c);
            }
        }
        while (clients.size() < 6) {
            clients.emplace_back(io, listen);
            clients.back().send(next_request());
        }
    }
    void run_until_answered(std::size_t count) {
        const std::size_t target = answered + count;
        run_until(io, [&] { return advance_clients(), answered >= target; });
    }
    void expect_nothing_lost() {
        EXPECT_EQ(lost, 0u);
        EXPECT_EQ(answered, sent - clients.size());
        EXPECT_EQ(server.requests.size() + clients.size() >= sent, true);
    }
};

TEST_F(ProgramHotRestart, SecondProcessTakesOverWithoutLosingRequests) {
    const Process first = start_and_wait();
    run_until_answered(200);
    const Process second = start_and_wait();
    run_until_answered(200);
    EXPECT_EQ(metrics(second).find("\"served\":0,\"refused\":0,\"failed\":0},\"annotate\""),
              std::string::npos)
        << "the second process must get new connections: " << metrics(second);
    end(first, SIGTERM);
    run_until_answered(200);
    expect_nothing_lost();
    const Process third = start_and_wait();
    end(second, SIGTERM);
    run_until_answered(100);
    expect_nothing_lost();
    EXPECT_EQ(status(third, "/ready"), 200u);
}

TEST_F(ProgramHotRestart, EitherProcessServesAfterTheOtherIsKilled) {
    const Process first = start_and_wait();
    const Process second = start_and_wait();
    end(second, SIGKILL);
    clients.clear(), sent = answered = lost = 0;
    run_until_answered(100);
    expect_nothing_lost();
    const Process third = start_and_wait();
    end(first, SIGKILL);
    clients.clear(), sent = answered = lost = 0;
    run_until_answered(100);
    expect_nothing_lost();
    EXPECT_EQ(status(third, "/ready"), 200u);
}

// Guards against two processes that both use the full resource limits. The folder for the lock is missing
// when they start, so that neither can detect the other; once the folder exists, both detect that they share.
TEST_F(ProgramHotRestart, ProcessesWithoutALockUseHalfTheLimitsUntilOneIsAlone) {
    temporary_folder = folder / "later";
    const Process first = start_and_wait("first"), second = start_and_wait("second");
    run_until(io, [&] {
        return count_logged("first", "hot_restart.unknown") == 1 &&
               count_logged("second", "hot_restart.unknown") == 1;
    });
    run_until_answered(50);
    std::filesystem::create_directory(temporary_folder);
    run_until(io, [&] {
        return count_logged("first", "hot_restart.shared") == 1 &&
               count_logged("second", "hot_restart.shared") == 1;
    });
    EXPECT_EQ(count_logged("first", "hot_restart.alone") + count_logged("second", "hot_restart.alone"), 0u);
    EXPECT_EQ(count_logged("first", "hot_restart.unknown") + count_logged("second", "hot_restart.unknown"),
              2u)
        << "one line per change, not one per check";
    end(first, SIGTERM);
    run_until(io, [&] { return advance_clients(), count_logged("second", "hot_restart.alone") == 1; });
    run_until_answered(50);
    expect_nothing_lost();
    EXPECT_EQ(status(second, "/ready"), 200u);
}

// Guards against idle clients that use up the descriptors for discovery and new connections. Discovery is
// down while idle clients that never disconnect fill the connection limit, some with unread bytes of a second
// request. The kernel limits the process to the number of descriptors in its configuration.
TEST_F(ProgramHotRestart, IdleClientsLeaveDescriptorsForDiscoveryAndNewConnections) {
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
    std::list<net::Tcp::socket> idle_clients;
    for (int i = 0; i < 300; ++i) {
        idle_clients.emplace_back(io).connect(listen);
        const std::string complete = request("listen", "id-" + std::to_string(i));
        asio::write(idle_clients.back(),
                    asio::buffer(i % 3 == 0 ? complete + complete.substr(0, 30) : complete));
    }
    run_until(io, [&] { return server.requests.size() >= 116; });
    const auto connected_at = std::chrono::steady_clock::now();
    TestClient new_client(io, listen);
    new_client.send(request("listen", "id-new"));
    run_until(io, [&] { return !new_client.answers.empty() || new_client.ended; });
    EXPECT_EQ(new_client.answers.size(), 1u);
    EXPECT_LE(std::chrono::steady_clock::now() - connected_at, std::chrono::seconds(3));
    ScriptedServer restarted_discovery(
        io, [](const auto&) { return Reply{}; }, discovery);
    run_until(io, [&] { return !restarted_discovery.requests.empty(); });
    EXPECT_EQ(status(process, "/ready"), 200u);
    restarted_discovery.send(
        0, response("200 OK", list_json(2, false, {{"s-a", server.address(), "Terminating"}})));
    run_until(io, [&] { return restarted_discovery.requests.size() == 2; });
    EXPECT_FALSE(has_ended(process));
}

TEST_F(ProgramHotRestart, SecondStartFailsWithoutAnOperatorAddress) {
    const std::string config = config_json(agent.address(), list_json(1, true, {{"s-a", server.address()}}),
                                           "1024", "127.0.0.1:" + std::to_string(listen.port()));
    children.push_back(start(config));
    run_until(io, [&] { return !agent.requests.empty(); });
    EXPECT_EQ(exit_status_of(start(config)), 1);
}

TEST_F(ProgramHotRestart, StartFailsIfTheOperatorAddressIsInUseOrInvalid) {
    net::Tcp::acceptor port_holder(io, any_port);
    EXPECT_EQ(exit_status_of(start(replace_first(
                  valid_config, "\"future\":[1]",
                  "\"operator\":\"127.0.0.1:" + std::to_string(port_holder.local_endpoint().port()) + "\""))),
              1);
    std::ifstream log(folder / "log");
    std::string line;
    std::getline(log, line);
    EXPECT_NE(line.find("'operator'"), std::string::npos) << line;
    EXPECT_EQ(exit_status_of(start(replace_first(valid_config, "\"future\":[1]", "\"operator\":\"there\""))),
              1);
}

TEST_F(Program, CompletesRequestsInFlightOnSigtermAndExitsWithZero) {
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
            return false;  // the process does not listen yet
        }
    });
    client->send(request("listen", "id-1"));
    const auto is_held_by_server = [&] {
        for (std::size_t i = 0; i < server.connections.size(); ++i)
            if (const auto& c = server.connections[i]; c->requests > 0 && !c->ended) {
                for (const auto& r : server.requests)
                    if (r["Request-Id"] == "id-1") return true;
            }
        return false;
    };
    run_until(io, is_held_by_server);
    ::kill(child, SIGTERM);
    std::optional<TestClient> late;
    late.emplace(io, listen);
    late->send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    // A draining sidecar closes the connection after the response.
    run_until(io, [&] { return late->ended; });
    EXPECT_EQ(late->answers.size(), 1u);
    // The server gets both the discovery call and the client's request, and sends the response to both.
    for (std::size_t i = 0; i < server.connections.size(); ++i) server.send(i, response("200 OK", "held"));
    run_until(io, [&] { return client->ended; });
    ASSERT_EQ(client->answers.size(), 1u);
    EXPECT_EQ(client->answers[0].body(), "held");
    EXPECT_EQ(exit_status_of(child), 0);
}

// Runs a traced child until it has begun to listen. Returns false if the child ended before.
bool run_until_it_listens(pid_t child) {
    constexpr int kMaxSystemCalls = 100000;  // a start makes some hundreds
    int status = 0;
    if (::waitpid(child, &status, 0) != child || !WIFSTOPPED(status)) return false;  // stopped at exec
    ::ptrace(PTRACE_SETOPTIONS, child, nullptr, PTRACE_O_EXITKILL | PTRACE_O_TRACESYSGOOD);
    bool listening = false;
    for (int calls = 0; calls < kMaxSystemCalls; ++calls) {
        if (::ptrace(PTRACE_SYSCALL, child, nullptr, nullptr) != 0) return false;
        if (::waitpid(child, &status, 0) != child || !WIFSTOPPED(status)) return false;
        __ptrace_syscall_info call{};
        ::ptrace(PTRACE_GET_SYSCALL_INFO, child, sizeof call, &call);
        if (call.op == PTRACE_SYSCALL_INFO_ENTRY) listening = call.entry.nr == SYS_listen;
        if (call.op == PTRACE_SYSCALL_INFO_EXIT && listening) return call.exit.rval == 0;
    }
    return false;
}

// Guards against signal handlers that are installed after the first socket listens. The process is stopped
// right after listen() until the test has sent its signals; without handlers, their default action ends the
// process.
TEST_F(Program, SurvivesSignalsRightAfterItListens) {
    asio::io_context io;
    ScriptedServer agent(io, [](const auto&) { return Reply{}; });
    const net::Tcp::endpoint listen = free_address();
    const pid_t child = start_with(config_json(agent.address(), list_json(1, true, {}), "1024",
                                               "127.0.0.1:" + std::to_string(listen.port())),
                                   [] { return ::ptrace(PTRACE_TRACEME, 0, nullptr, nullptr) == 0; });
    ASSERT_TRUE(run_until_it_listens(child));
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

// Runs the program with standard error connected to a pipe, socket or file that may be full or closed.
struct ProgramLogging : Program {
    asio::io_context io;
    ScriptedServer server{io, [](const auto&) { return Reply{response("200 OK", "served")}; }};
    ScriptedServer agent{io, [](const auto&) { return Reply{}; }};
    const net::Tcp::endpoint listen = free_address();
    std::array<int, 2> ends{-1, -1};  // the end that is read, and the end that the program writes to
    pid_t child = -1;

    ~ProgramLogging() override {
        if (child > 0) ::kill(child, SIGKILL), ::waitpid(child, nullptr, 0);
        for (const int end : ends) ::close(end);
    }
    void open_pipe() { ASSERT_EQ(::pipe2(ends.data(), O_CLOEXEC), 0); }
    void open_sockets() { ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()), 0); }
    // Writes until the pipe or socket has no free space. It is set to blocking afterwards, as is usual for
    // the standard error that a process inherits.
    void fill() {
        ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
        const std::string block(4096, 'x');
        for (const std::size_t size : {block.size(), std::size_t{1}})
            while (::write(ends[1], block.data(), size) > 0) {
            }
        ::fcntl(ends[1], F_SETFL, 0);
    }
    void start_program(const std::function<bool()>& set_up) {
        child = start_with(config_json(agent.address(), list_json(1, true, {{"s-a", server.address()}}),
                                       "1024", "127.0.0.1:" + std::to_string(listen.port())),
                           set_up);
    }
    void start_with_log_to_pipe() {
        start_program([this] { return ::dup2(ends[1], STDERR_FILENO) == STDERR_FILENO; });
    }
    void expect_served_request() {
        std::optional<TestClient> client;
        run_until(io, [&] {
            try {
                client.emplace(io, listen);
            } catch (const boost::system::system_error&) {  // the process does not listen yet
            }
            return client || has_ended();
        });
        ASSERT_TRUE(client) << "the process has ended";
        client->send(request("deposit", "id-" + std::to_string(server.requests.size())));
        run_until(io, [&] { return !client->answers.empty() || client->ended; });
        ASSERT_EQ(client->answers.size(), 1u);
        EXPECT_EQ(client->answers[0].result_int(), 200u);
    }
    bool has_ended() {
        if (child > 0 && ::waitpid(child, &status, WNOHANG) == child) child = -1;
        return child <= 0;
    }
    // Sends a signal to the program. After its end `child` is -1, with which kill() would signal all
    // processes.
    void signal(int number) {
        ASSERT_FALSE(has_ended());
        ::kill(child, number);
    }
    void expect_exit_with_zero_on_sigterm() {
        ASSERT_NO_FATAL_FAILURE(signal(SIGTERM));
        run_until(io, [&] { return has_ended(); });
        EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    }
    // Expects that the program serves requests while its log is full. Log lines that do not fit are dropped,
    // their number is logged once there is free space, and no line is truncated.
    void expect_service_while_log_is_full() {
        fill();
        start_with_log_to_pipe();
        ASSERT_NO_FATAL_FAILURE(expect_served_request());
        std::string text;
        std::array<char, 65536> chunk{};
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        const auto read_all = [&] {
            for (ssize_t count; (count = ::read(ends[0], chunk.data(), chunk.size())) > 0;)
                text.append(chunk.data(), static_cast<std::size_t>(count));
        };
        read_all();
        std::ofstream(folder / "config.json") << "{\"name\"";
        ASSERT_NO_FATAL_FAILURE(signal(SIGHUP));
        run_until(io, [&] { return read_all(), text.find("config.reload_failed") != std::string::npos; });
        std::istringstream lines(text.substr(std::min(text.size(), text.find_first_not_of('x'))));
        std::string line;
        std::getline(lines, line);
        const auto dropped = nlohmann::json::parse(line, nullptr, false);
        ASSERT_TRUE(dropped.is_object()) << line;
        EXPECT_EQ(dropped.value("event", ""), "log.dropped") << line;
        EXPECT_EQ(dropped.value("lines", 0), 1) << "only sidecar.listening is dropped: " << line;
        std::getline(lines, line);
        EXPECT_EQ(nlohmann::json::parse(line, nullptr, false).value("event", ""), "config.reload_failed")
            << line;
        expect_exit_with_zero_on_sigterm();
    }
    int status = 0;
};

// Guards against a blocking write to the log that delays requests.
TEST_F(ProgramLogging, FullPipeDelaysNoRequest) {
    open_pipe();
    expect_service_while_log_is_full();
}

TEST_F(ProgramLogging, FullSocketDelaysNoRequest) {
    open_sockets();
    expect_service_while_log_is_full();
}

// Guards against SIGPIPE ending the program.
TEST_F(ProgramLogging, SurvivesAReaderThatHasClosedThePipe) {
    open_pipe();
    start_program(
        [this] { return ::close(ends[0]) == 0 && ::dup2(ends[1], STDERR_FILENO) == STDERR_FILENO; });
    ::close(std::exchange(ends[0], -1));
    ASSERT_NO_FATAL_FAILURE(expect_served_request());
    expect_exit_with_zero_on_sigterm();
}

TEST_F(ProgramLogging, SurvivesAFullDisk) {
    start_program([] { return std::freopen("/dev/full", "w", stderr) != nullptr; });
    ASSERT_NO_FATAL_FAILURE(expect_served_request());
    expect_exit_with_zero_on_sigterm();
}

// Guards against a socket that gets the number of a standard descriptor, as log lines would be sent through
// it.
TEST_F(ProgramLogging, ReplacesClosedStandardDescriptorsByDevNull) {
    start_program([] { return ::close(0) == 0 && ::close(1) == 0 && ::close(2) == 0; });
    ASSERT_NO_FATAL_FAILURE(expect_served_request());
    for (const int number : {0, 1, 2})
        EXPECT_EQ(
            std::filesystem::read_symlink("/proc/" + std::to_string(child) + "/fd/" + std::to_string(number)),
            "/dev/null");
    expect_exit_with_zero_on_sigterm();
}

TEST_F(Program, SwitchesDiscoveryOnSighupAndSurvivesAMalformedFile) {
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
    {  // each line is a JSON object with the time, level, event and sidecar
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

// Guards against requests and descriptors that are lost in reloads. The configuration is replaced repeatedly
// under requests, and every third file is truncated at the signal. Each request must be answered, the last
// valid configuration must be in force, and the number of descriptors must return to that at the start.
TEST_F(Program, ManyReloadsLoseNoRequestAndApplyTheLastValidConfiguration) {
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
    const auto send_request = [&] {
        client.send(request("listen", "id-" + std::to_string(++answers)));
        run_until(io, [&] { return client.answers.size() == answers || client.ended; });
        ASSERT_EQ(client.answers.size(), answers);
        EXPECT_EQ(client.answers.back().result_int(), 200u);
    };
    const auto open_connections = [](const ScriptedServer& scripted) {
        return scripted.connections.size() - scripted.ended_count();
    };
    const auto other_descriptors = [&] {
        const std::filesystem::directory_iterator all("/proc/" + std::to_string(child) + "/fd"), end;
        return static_cast<std::size_t>(std::distance(all, end)) - open_connections(server);
    };
    ASSERT_NO_FATAL_FAILURE(send_request());
    const std::size_t before = other_descriptors();
    for (int i = 0; i < kConfigurations; ++i) {
        const std::string text = config(i % 2 == 0 ? second : first);
        const bool is_truncated = i % 3 == 1;
        std::ofstream(folder / "config.json") << (is_truncated ? text.substr(0, text.size() / 2) : text);
        ::kill(child, SIGHUP);
        ASSERT_NO_FATAL_FAILURE(send_request());
    }
    run_until(io, [&] {
        return open_connections(second) == 1 && open_connections(first) == 0 && other_descriptors() == before;
    });
    ::kill(child, SIGTERM);
    EXPECT_EQ(exit_status_of(child), 0);
}

}  // namespace
}  // namespace mothring::node::test
