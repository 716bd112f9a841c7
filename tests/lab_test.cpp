/// @file
/// Tests of the fault lab's components, and of sidecar processes under faults: killed or stopped processes,
/// network partitions, outages of discovery.
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <random>
#include <sstream>

#include "lab/report.hpp"
#include "lab_rig.hpp"
#include "program_path.hpp"

namespace mothring::lab::test {
namespace {

using Json = nlohmann::json;

const std::string three_classes = R"(
[[clients.classes]]
name = "fetch"
effect = "repeatable"
[[clients.classes]]
name = "note"
effect = "by_key"
[[clients.classes]]
name = "accession"
effect = "once"
)";

// ---- Components

TEST(Histogram, PercentilesExceedExactValuesByAtMostOneThirtySecond) {
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> draw(9, 2);
    Histogram combined, half, other;
    std::vector<std::uint64_t> values;
    for (int i = 0; i < 20000; ++i) {
        values.push_back(static_cast<std::uint64_t>(draw(random)));
        combined.record(static_cast<double>(values.back()));
        (i % 2 ? half : other).record(static_cast<double>(values.back()));
    }
    std::sort(values.begin(), values.end());
    half.add(other);
    for (const double share : {0.001, 0.25, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const auto rank = static_cast<std::size_t>(std::ceil(share * 20000)) - 1;
        EXPECT_GE(combined.percentile(share), values[rank]) << share;
        EXPECT_LE(static_cast<double>(combined.percentile(share)),
                  static_cast<double>(values[rank]) * 33 / 32)
            << share;
        EXPECT_EQ(half.percentile(share), combined.percentile(share)) << share;
    }
    EXPECT_EQ(Histogram().percentile(0.5), 0u);
}

TEST(DiscoveryStandIn, ReportsStartTimesByTheServersSteppedClocks) {
    DiscoveryStandIn discovery([](const auto&, const auto&) { return any_tcp_port; });
    discovery.put({{"s-a", "hall-a"}});
    for (const Millis step : {-3600000.0, 5000.0, 3600000.0}) {
        discovery.step_clocks(step);
        const Millis before = net::read_system_clock();
        discovery.restarted("s-a");
        const auto list = Json::parse(discovery.list("n1"));
        const Millis started = list["servers"][0]["started_ms"].get<Millis>();
        discovery.step_clocks(-step);
        EXPECT_GE(started, std::floor(before + step));
        EXPECT_LE(started, net::read_system_clock() + step);
    }
}

TEST(Scenarios, ErrorsNameTheKeyAndLine) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {"duration_s = \"long\"\n", "s.toml:1: 'duration_s' expects a number from 0.1 to 3600"},
        {"[sidecars]\ncount = 0\n", "s.toml:2: 'sidecars.count' expects a whole number from 1 to 1024"},
        {"[servers]\nslotz = 4\n", "s.toml:2: 'servers.slotz' is not a known key"},
        {"[servers.latency]\nkind = \"gamma\"\n", "s.toml:2: 'servers.latency.kind' is not one of constant"},
        {"[servers.latency]\nkind = \"constant\"\nsigma = 1\n",
         "s.toml:3: 'servers.latency.sigma' is not a known key"},
        {"[[faults]]\nkind = \"quake\"\n", "s.toml:2: 'faults.kind' is not one of partition, delay"},
        {"[[faults]]\nkind = \"kill\"\nat_s = 1\ntargets = [\"n2\"]\n",
         "s.toml:4: 'faults.targets' names no node: \"n2\""},
        {"[[faults]]\nkind = \"kill\"\nat_s = 1\ntargets = [\"s1\"]\n",
         "s.toml:4: 'faults.targets' names a node that this fault can't befall: s1"},
        {"[[faults]]\nkind = \"partition\"\nat_s = 1\nfrom = [\"*\"]\n", "s.toml:1: 'faults.to' is missing"},
        {"[sidecars.options.log]\nlevel = 3\n", "'sidecars.options' is refused: sidecars.options:"},
        {"[[clients.classes]]\neffect = \"once\"\n", "s.toml:1: 'clients.classes.name' is missing"},
        {"zones = []\n", "s.toml:1: 'zones' expects at least one zone"},
        {"a = [\n", "s.toml:"}};
    for (const auto& [text, expected] : cases) try {
            read_scenario(text, "s.toml");
            ADD_FAILURE() << "accepted: " << text;
        } catch (const config::ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find(expected), std::string::npos) << error.what();
        }
}

TEST(Scenarios, SelectsNodesByGroupNameAndZone) {
    const Scenario s =
        read_scenario("zones = [\"a\", \"b\"]\n[sidecars]\ncount = 3\n[servers]\ncount = 2\n", "s.toml");
    using Nodes = std::set<std::string>;
    EXPECT_EQ(s.select("sidecars@a"), (Nodes{"n1", "n3"}));
    EXPECT_EQ(s.select("@b"), (Nodes{"n2", "s2"}));
    EXPECT_EQ(s.select("*"), (Nodes{"n1", "n2", "n3", "s1", "s2", "discovery"}));
    EXPECT_EQ(s.select(std::vector<std::string>{"s2", "discovery"}), (Nodes{"s2", "discovery"}));
    EXPECT_TRUE(s.select("n4").empty());
}

// Connects plain sockets through the relay.
struct RelayTest : testing::Test {
    asio::io_context io;
    Relay relay{1};
    net::Tcp::acceptor server{io, any_tcp_port};
    net::Tcp::endpoint link = relay.tcp_link("n1", "s1", server.local_endpoint());

    bool until(const std::function<bool()>& reached,
               std::chrono::milliseconds limit = std::chrono::seconds(8)) {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return reached();
    }
    // The relay has processed all earlier events when add() returns.
    Relay::RuleId cut(bool both_ways) {
        Conditions silent;
        silent.silent = true;
        return relay.add({{"n1"}, {"s1", "n2"}, both_ways, silent});
    }
};

TEST_F(RelayTest, SilentLinkHoldsBackDataAndNewConnectionsUntilRuleIsRemoved) {
    net::Tcp::socket near(io), far(io), late(io);
    near.connect(link);
    server.accept(far);
    const auto rule = cut(true);
    asio::write(near, asio::buffer("held", 4));
    std::string got(4, ' ');
    bool arrived = false, connected = false;
    asio::async_read(far, asio::buffer(got), [&](error_code failed, std::size_t) { arrived = !failed; });
    late.async_connect(link, [&](error_code failed) { connected = !failed; });
    // Meanwhile a link without faults forwards data, and the silent link forwards nothing.
    net::Tcp::socket other_near(io), other_far(io);
    const net::Tcp::endpoint other = relay.tcp_link("n3", "s1", server.local_endpoint());
    other_near.connect(other);
    server.accept(other_far);
    asio::write(other_near, asio::buffer("pass", 4));
    std::string passed(4, ' ');
    asio::read(other_far, asio::buffer(passed));
    EXPECT_EQ(passed, "pass");
    EXPECT_FALSE(until([&] { return arrived || connected; }, std::chrono::milliseconds(300)));
    relay.remove(rule);
    EXPECT_TRUE(until([&] { return arrived && connected; }));
    EXPECT_EQ(got, "held");
}

TEST_F(RelayTest, RefusedNodeResetsAndRefusesConnectionsAndLaterAcceptsAtSameAddress) {
    net::Tcp::socket near(io), far(io);
    near.connect(link);
    server.accept(far);
    relay.set_refused("s1", true);
    char byte;
    error_code failed;
    near.read_some(asio::buffer(&byte, 1), failed);
    EXPECT_EQ(failed, asio::error::connection_reset);
    net::Tcp::socket refused(io);
    refused.connect(link, failed);
    EXPECT_EQ(failed, asio::error::connection_refused);
    relay.set_refused("s1", false);
    net::Tcp::socket again(io), accepted(io);
    again.connect(link);
    server.accept(accepted);
    EXPECT_TRUE(accepted.is_open());
}

TEST_F(RelayTest, DatagramsArriveFromTheSendersLinkAndOneWayRuleBlocksOneDirection) {
    net::Udp::socket a(io, any_udp_port), b(io, any_udp_port);
    const net::Udp::endpoint to_b = relay.udp_link("n1", "n2"), to_a = relay.udp_link("n2", "n1");
    relay.set_peer_address("n1", a.local_endpoint());
    relay.set_peer_address("n2", b.local_endpoint());
    std::array<char, 8> buffer{};
    net::Udp::endpoint from;
    a.send_to(asio::buffer("ping", 4), to_b);
    EXPECT_EQ(b.receive_from(asio::buffer(buffer), from), 4u);
    EXPECT_EQ(from, to_a);  // the address that b uses for a
    cut(false);
    a.send_to(asio::buffer("lost", 4), to_b);
    b.send_to(asio::buffer("back", 4), to_a);
    EXPECT_EQ(a.receive_from(asio::buffer(buffer), from), 4u);
    EXPECT_EQ(from, to_b);
    EXPECT_TRUE(until([&] { return relay.counts().datagrams_lost == 1; }));
    EXPECT_EQ(b.available(), 0u);
}

// ---- Sidecar processes

TEST_F(LabRig, RejectedRequestIsRetriedElsewhereAndOneThatMayHaveRunIsNot) {
    start("[servers]\ncount = 2\n" + three_classes);
    Behaviour rejecting;
    rejecting.turn_away_share = 1;
    lab->server(0).set(rejecting);
    for (int i = 0; i < 6; ++i) {
        const auto r = send_and_wait(0, 2);
        EXPECT_EQ(r.end, End::served);
        EXPECT_EQ(r.server, "s2");
    }
    EXPECT_GT(lab->server(0).counts().turned_away, 0u);
    Behaviour resetting;
    resetting.reset_share = 1;
    lab->server(0).set(resetting);
    lab->server(1).set(resetting);
    const auto r = send_and_wait(0, 2);
    EXPECT_NE(r.end, End::served);
    EXPECT_EQ(lab->ledger().attempts_of(r.id), 1u);  // The request may have run, so it isn't repeated.
    EXPECT_EQ(lab->ledger().once_repeated(), 0u);
}

TEST_F(LabRig, KilledSidecarEndsEachRequestOnceAndServesAgainAfterRestart) {
    start("[sidecars]\ncount = 2\n[servers]\ncount = 2\n[servers.latency]\nkind = \"constant\"\nms = 400\n" +
          three_classes);
    std::vector<std::future<Clients::Result>> asked;
    for (std::size_t i = 0; i < 9; ++i) asked.push_back(lab->clients().ask("n1", i % 3));
    const auto arrived = [&] { return lab->server(0).counts().arrived + lab->server(1).counts().arrived; };
    ASSERT_TRUE(lab->until([&] { return arrived() == 9; }));
    lab->signal(0, SIGKILL);
    for (auto& one : asked) {
        const auto r = wait_for_result(one);  // Setting the result twice would throw.
        EXPECT_EQ(r.end, End::lost);
        EXPECT_EQ(lab->ledger().attempts_of(r.id), 1u);
    }
    ASSERT_TRUE(lab->until([&] { return !lab->child(0)->running(); }));
    EXPECT_EQ(send_and_wait(1).end, End::served);  // The other sidecar isn't affected.
    const auto before = lab->last_event(0, "sidecar.listening");
    lab->restart(0);
    ASSERT_TRUE(lab->until([&] { return lab->events(0, "sidecar.listening") == 2; }));
    EXPECT_EQ(lab->last_event(0, "sidecar.listening")["listen"], before["listen"]);
    for (std::size_t kind = 0; kind < 3; ++kind) EXPECT_EQ(send_and_wait(0, kind).end, End::served);
    EXPECT_EQ(lab->ledger().once_repeated(), 0u);
    // The lab killed the sidecar, which counts as a requested end.
    EXPECT_FALSE(lab->report().sidecars[0].ended_badly);
}

TEST_F(LabRig, FleetServesDuringDiscoveryOutageAndThenReceivesTheChangedList) {
    start(R"(
duration_s = 8
[sidecars]
count = 3
[servers]
count = 4
[clients]
rate = 40
[[faults]]
kind = "discovery"
mode = "resetting"
at_s = 1
for_s = 5
[[faults]]
kind = "list"
state = "Gone"
targets = ["s1"]
at_s = 2
[[faults]]
kind = "server_down"
targets = ["s1"]
at_s = 2.5
)");
    lab->play();
    const auto known = [&](std::size_t i) { return lab->metrics(i).value("scan_servers_known", 0); };
    for (std::size_t i = 0; i < 3; ++i) EXPECT_TRUE(lab->until([&] { return known(i) == 3; })) << known(i);
    const Report report = lab->report();
    const ClientTally all = report.clients();
    EXPECT_GT(all.all.all(), 500u);
    // Repeatable requests are retried on a server that is up.
    EXPECT_EQ(all.all[End::served], all.all.all());
    EXPECT_EQ(report.once_repeated, 0u);
}

TEST_F(LabRig, SidecarsPartitionedFromHalfTheServersUseTheOtherHalf) {
    start(R"(
duration_s = 9
zones = ["a", "b"]
[sidecars]
count = 4
[servers]
count = 4
[clients]
rate = 40
[[faults]]
kind = "partition"
from = ["sidecars@a"]
to = ["servers@b"]
at_s = 1
for_s = 5
)" + three_classes);
    lab->play();
    const Report report = lab->report();
    ASSERT_EQ(report.sidecars.size(), 4u);
    for (const auto& sidecar : report.sidecars) {
        const Tally& all = sidecar.clients.all;
        EXPECT_GT(all.all(), 200u) << sidecar.name;
        EXPECT_EQ(all[End::lost] + all[End::wrong] + all[End::unreachable], 0u) << sidecar.name;
        // Sidecars outside the partition aren't affected.
        if (sidecar.zone == "b") {
            EXPECT_EQ(all[End::served], all.all()) << sidecar.name;
        }
        // In the last second of the partition, all requests sent before its detection have ended: their
        // deadline is 2.5 s.
        ASSERT_GE(sidecar.clients.seconds.size(), 9u);
        const Tally& cut = sidecar.clients.seconds[5];
        EXPECT_GT(cut[End::served] * 10, cut.all() * 8) << sidecar.name;
        if (sidecar.zone == "a") {
            EXPECT_EQ(cut.crossed, 0u) << sidecar.name;
        }
    }
    EXPECT_EQ(report.once_repeated, 0u);
    // After the partition the sidecar uses the servers of zone b again.
    EXPECT_TRUE(lab->until([&] { return send_and_wait(0).zone == "b"; }, 20000));
}

TEST_F(LabRig, StoppedSidecarAnswersPendingRequestAfterContinue) {
    start("[sidecars]\ncount = 2\n[servers]\ncount = 2\n");
    lab->signal(0, SIGSTOP);
    auto held = lab->clients().ask("n1", 0);
    EXPECT_EQ(send_and_wait(1).end, End::served);
    EXPECT_NE(held.wait_for(std::chrono::seconds(0)), std::future_status::ready);
    lab->signal(0, SIGCONT);
    EXPECT_EQ(wait_for_result(held).end, End::served);
}

TEST_F(LabRig, AllSidecarsMapAKeyToTheSameServerAndTerminatingServerMovesOnlyItsKeys) {
    start(R"(
[sidecars]
count = 3
[servers]
count = 6
[sidecars.options.affinity]
rules = [{ class = "*", key = "header:Scan-Key" }]
)");
    const auto key = [](int i) { return std::string("herbarium-sheet-").append(std::to_string(i)); };
    std::vector<std::string> home;
    std::set<std::string> used;
    for (int i = 0; i < 24; ++i) {
        home.push_back(send_and_wait(0, 0, key(i)).server);
        used.insert(home.back());
        for (std::size_t other : {1, 2}) EXPECT_EQ(send_and_wait(other, 0, key(i)).server, home.back()) << i;
    }
    EXPECT_GE(used.size(), 4u);
    lab->discovery().set_state({home[0]}, "Terminating");
    for (std::size_t i = 0; i < 3; ++i)
        ASSERT_TRUE(lab->until([&] { return lab->metrics(i).value("scan_servers_excluded", 0) == 1; }));
    for (int i = 0; i < 24; ++i)
        for (std::size_t sidecar : {0, 1, 2}) {
            const auto r = send_and_wait(sidecar, 0, key(i));
            EXPECT_EQ(r.end, End::served);
            EXPECT_EQ(r.server == home[static_cast<std::size_t>(i)],
                      home[static_cast<std::size_t>(i)] != home[0])
                << i;
        }
}

// ---- The lab's command line

struct LabProcess {
    pid_t pid;
    int status() const {
        int status = 0;
        EXPECT_EQ(::waitpid(pid, &status, 0), pid);
        return status;
    }
};
LabProcess start_lab(const std::filesystem::path& scenario, const std::filesystem::path& out) {
    const std::filesystem::path err = scenario.string() + ".err";
    const pid_t pid = ::fork();
    if (pid != 0) return {pid};
    if (!std::freopen(err.c_str(), "w", stderr) || !std::freopen("/dev/null", "w", stdout)) ::_exit(126);
    ::execl(mothring::test::program_path(), mothring::test::program_path(), "lab", scenario.c_str(), "--out",
            out.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
}

TEST_F(LabRig, LabReportsPlayedScenarioAndStartsNothingForInvalidScenario) {
    std::ofstream(folder / "good.toml") << "duration_s = 1\n[sidecars]\ncount = 2\n[clients]\nrate = 50\n";
    ASSERT_EQ(start_lab(folder / "good.toml", folder / "out").status(), 0);
    std::ifstream file(folder / "out" / "report.json");
    const Json report = Json::parse(file, nullptr, false);
    ASSERT_TRUE(report.is_object());
    const Json& all = report["overall"];
    EXPECT_GT(all["requests"], 40);
    EXPECT_EQ(all["served"], all["requests"]);
    EXPECT_EQ(all["attempts"], all["requests"]);
    EXPECT_EQ(report["sidecars"].size(), 2u);
    EXPECT_GT(all["latency_ms"]["p50"], 0);
    EXPECT_GT(std::filesystem::file_size(folder / "out" / "report.html"), 1000u);

    std::ofstream(folder / "bad.toml") << "\n[sidecars]\ncount = \"two\"\n";
    const int status = start_lab(folder / "bad.toml", folder / "none").status();
    EXPECT_EQ(WEXITSTATUS(status), 2);
    EXPECT_FALSE(std::filesystem::exists(folder / "none"));
    std::ifstream err(folder / "bad.toml.err");
    std::string line;
    std::getline(err, line);
    EXPECT_NE(line.find("bad.toml:3: 'sidecars.count' expects a whole number"), std::string::npos) << line;
}

// Waits until the sidecars n1 to n3 of the lab with output folder `out` listen, and returns their
// process ids.
std::set<pid_t> sidecars_of(const std::filesystem::path& out) {
    std::set<pid_t> pids;
    asio::io_context io;
    for (int attempt = 0; attempt < 400 && pids.size() < 3; ++attempt) {
        for (const char* name : {"n1", "n2", "n3"}) {
            std::ifstream log(out / name / "log");
            std::string line;
            while (std::getline(log, line))
                if (const auto event = Json::parse(line, nullptr, false);
                    event.is_object() && event.value("event", "") == "sidecar.listening")
                    pids.insert(event["pid"].get<pid_t>());
        }
        asio::steady_timer(io, std::chrono::milliseconds(25)).wait();
    }
    return pids;
}
const std::string long_scenario = "duration_s = 60\n[sidecars]\ncount = 3\n[clients]\nrate = 20\n";

TEST_F(LabRig, InterruptedLabStopsItsSidecarsAndWritesPartialReport) {
    std::ofstream(folder / "long.toml") << long_scenario;
    const LabProcess lab_process = start_lab(folder / "long.toml", folder / "out");
    const auto pids = sidecars_of(folder / "out");
    EXPECT_EQ(pids.size(), 3u);
    ::kill(lab_process.pid, SIGINT);
    EXPECT_EQ(WEXITSTATUS(lab_process.status()), 130);
    std::ifstream file(folder / "out" / "report.json");
    EXPECT_TRUE(Json::parse(file, nullptr, false).value("interrupted", false));
    for (const pid_t pid : pids) EXPECT_EQ(::kill(-pid, 0), -1);  // reaped
}

TEST_F(LabRig, KilledLabLeavesNoProcess) {
    // Orphaned processes of the lab become children of this process.
    ASSERT_EQ(::prctl(PR_SET_CHILD_SUBREAPER, 1), 0);
    std::ofstream(folder / "long.toml") << long_scenario;
    const LabProcess lab_process = start_lab(folder / "long.toml", folder / "out");
    const auto pids = sidecars_of(folder / "out");
    ASSERT_EQ(pids.size(), 3u);
    ::kill(lab_process.pid, SIGKILL);
    EXPECT_TRUE(WIFSIGNALED(lab_process.status()));
    for (const pid_t pid : pids) {
        int status = 0;
        EXPECT_EQ(::waitpid(pid, &status, 0), pid);
        EXPECT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
        EXPECT_EQ(::kill(-pid, 0), -1);  // No process of its group is left.
    }
    ::prctl(PR_SET_CHILD_SUBREAPER, 0);
}

}  // namespace
}  // namespace mothring::lab::test
