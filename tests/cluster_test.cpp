// Tests of the membership among several processes of the program, with faults injected between them.
#include <signal.h>

#include "cluster/codec.hpp"
#include "lab_rig.hpp"

namespace mothring::lab::test {
namespace {

using Json = nlohmann::json;

struct ClusterRig : LabRig {
    // Starts a fleet and waits until all its members see each other.
    void gather(std::size_t members, const std::string& cluster, const std::string& more = "") {
        start("[sidecars]\ncount = " + std::to_string(members) + "\n[sidecars.cluster]\n" + cluster + more);
        ASSERT_TRUE(until_all(members)) << view(0);
    }
    Json view(std::size_t i) { return lab->metrics(i).value("cluster", Json::object()); }
    bool until_all(std::size_t alive, Millis limit = 30000) {
        return lab->until(
            [&] {
                for (std::size_t i = 0; i < lab->scenario().sidecars; ++i)
                    if (lab->child(i)->running() && view(i).value("alive", 0U) != alive) return false;
                return true;
            },
            limit);
    }
    // Returns the number of sidecars that logged the event, about `member` if one is given.
    std::size_t sidecars_reporting(const std::string& event, const std::string& member = "") {
        std::size_t count = 0;
        for (std::size_t i = 0; i < lab->scenario().sidecars; ++i) count += lab->events(i, event, member) > 0;
        return count;
    }
    // Waits for a number of protocol periods, measured by the probes of the first sidecar rather than by wall
    // time.
    bool wait_periods(std::size_t count) {
        const auto probes = [&] { return view(0).value("probes", 0U); };
        const auto before = probes();
        return lab->until([&] { return probes() >= before + count; }, 120000);
    }
    void cut(const std::set<std::string>& from, const std::set<std::string>& to, bool both_ways) {
        Conditions silent;
        silent.silent = true;
        rule = lab->relay().add({from, to, both_ways, silent});
    }
    Relay::RuleId rule = 0;
};

TEST_F(ClusterRig, KilledMemberIsDeclaredDeadWithinBoundAndRejoinsWithGreaterIncarnation) {
    gather(6, "period_ms = 200\n");
    const auto incarnation = view(2)["incarnation"].get<std::uint64_t>();
    cluster::Parameters p;
    p.period = 200;
    const auto killed = std::chrono::steady_clock::now();
    lab->signal(2, SIGKILL);
    ASSERT_TRUE(lab->until([&] { return sidecars_reporting("member.dead", "n3") == 5; }, 30000));
    const double took =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - killed).count();
    // The bound is one round of probes and an unconfirmed suspicion; 2 s are added for a slow machine.
    EXPECT_LT(took, 6 * p.period + p.suspicion_timeout(6, 0) + 2000);
    EXPECT_EQ(sidecars_reporting("member.dead"), 5u);
    lab->restart(2);
    EXPECT_TRUE(until_all(6));
    EXPECT_TRUE(lab->until([&] { return sidecars_reporting("member.rejoined", "n3") == 5; }));
    EXPECT_GT(view(2)["incarnation"].get<std::uint64_t>(), incarnation);
    EXPECT_EQ(sidecars_reporting("member.superseded"), 0u);
    // On SIGTERM a sidecar leaves the fleet, and no other member declares it dead.
    lab->signal(1, SIGTERM);
    EXPECT_TRUE(lab->until([&] { return sidecars_reporting("member.left", "n2") == 5; }));
    EXPECT_TRUE(lab->until([&] { return !lab->child(1)->running(); }));
    EXPECT_EQ(sidecars_reporting("member.dead", "n2"), 0u);
    EXPECT_EQ(view(0)["expected"], 5);
}

TEST_F(ClusterRig, StoppedMemberIsSuspectedAndRefutesAfterContinuing) {
    gather(4, "period_ms = 500\nsuspicion = 16\n");  // at least 8 s until it is declared dead
    lab->signal(3, SIGSTOP);
    ASSERT_TRUE(lab->until([&] { return sidecars_reporting("member.suspect", "n4") > 0; }, 6000));
    lab->signal(3, SIGCONT);
    EXPECT_TRUE(lab->until([&] { return sidecars_reporting("member.refuted", "n4") > 0; }, 20000));
    EXPECT_TRUE(until_all(4));
    EXPECT_EQ(sidecars_reporting("member.dead"), 0u);
}

TEST_F(ClusterRig, NoMemberIsDeclaredDeadWithOneFifthOfDatagramsLost) {
    gather(16, "period_ms = 100\n");
    Conditions lossy;
    lossy.drop = 0.2;
    const auto all = lab->scenario().select("sidecars");
    lab->relay().add({all, all, true, lossy});
    ASSERT_TRUE(wait_periods(120));
    EXPECT_EQ(sidecars_reporting("member.dead"), 0u);
    EXPECT_GT(lab->relay().counts().datagrams_lost, 100u);
}

TEST_F(ClusterRig, PartitionHalvesLoseQuorumKeepServingAndMergeAfterHealing) {
    gather(6, "period_ms = 100\n");
    cut({"n1", "n2", "n3"}, {"n4", "n5", "n6"}, true);
    const auto quorums = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < 6; ++i) count += view(i).value("quorum", true);
        return count;
    };
    ASSERT_TRUE(lab->until([&] { return quorums() == 0; }, 30000));
    for (std::size_t i = 0; i < 6; ++i) EXPECT_EQ(send_and_wait(i).end, End::served);
    lab->relay().remove(rule);
    EXPECT_TRUE(until_all(6));
    EXPECT_EQ(quorums(), 6u);
    EXPECT_EQ(sidecars_reporting("member.superseded"), 0u);
}

TEST_F(ClusterRig, MemberWhoseMessagesAreLostLosesQuorumWhileOthersKeepTheirs) {
    gather(5, "period_ms = 100\n");
    cut({"n1"}, {"n2", "n3", "n4", "n5"}, false);
    ASSERT_TRUE(lab->until([&] { return sidecars_reporting("member.dead", "n1") == 4; }, 30000));
    ASSERT_TRUE(lab->until([&] { return !view(0).value("quorum", true); }, 30000));
    for (std::size_t i = 1; i < 5; ++i) {
        EXPECT_EQ(view(i)["alive"], 4) << i;
        EXPECT_EQ(view(i)["quorum"], true) << i;
    }
    lab->relay().remove(rule);
    EXPECT_TRUE(until_all(5));
}

TEST_F(ClusterRig, StarvedMemberDeclaresNoHealthyMemberDead) {
    gather(6, "period_ms = 200\n");
    // The process runs for one twentieth of the time, and each stop is longer than a protocol period.
    asio::io_context io;
    for (int turn = 0; turn < 25; ++turn) {
        lab->signal(0, SIGSTOP);
        lab->until([] { return false; }, 285);
        lab->signal(0, SIGCONT);
        lab->until([] { return false; }, 15);
    }
    for (const char* const healthy : {"n2", "n3", "n4", "n5", "n6"})
        EXPECT_EQ(sidecars_reporting("member.dead", healthy), 0u) << healthy;
    EXPECT_GT(view(0)["late_ticks"], 0);
    EXPECT_TRUE(until_all(6));
}

TEST_F(ClusterRig, ForgedReplayedOversizedAndMalformedDatagramsAreCountedAndDropped) {
    gather(2, "period_ms = 200\n");
    const auto target = *net::parse_endpoint<net::Udp::endpoint>(
        lab->last_event(0, "sidecar.listening").value("cluster", ""));
    asio::io_context io;
    net::Udp::socket stray(io, any_udp_port);
    cluster::Codec wrong("not the fleet's shared key", "n9", 1), right(lab->cluster_key(), "n8", 1);
    cluster::Message join, evict;
    join.kind = evict.kind = cluster::Message::Kind::gossip;
    cluster::Claim n9, n2;
    n9.name = "n9";
    n9.udp = n9.tcp = net::format_endpoint(stray.local_endpoint());
    n2.name = "n2";
    n2.state = cluster::State::dead;
    n2.incarnation = 1ULL << 60;
    join.claims = {n9};
    evict.claims = {n2};
    for (const auto* message : {&join, &evict}) stray.send_to(asio::buffer(wrong.seal(*message)), target);
    const auto once = right.seal(cluster::Message{});
    stray.send_to(asio::buffer(once), target);
    stray.send_to(asio::buffer(once), target);
    stray.send_to(asio::buffer(once, once.size() - 1), target);
    stray.send_to(asio::buffer(cluster::Bytes(1401, 1)), target);
    stray.send_to(asio::buffer(cluster::Bytes{7}), target);
    const auto rejected = [&](const char* why) {
        return view(0).value("rejected", Json::object()).value(why, 0);
    };
    EXPECT_TRUE(lab->until([&] {
        return rejected("forged") == 3 && rejected("replayed") == 1 && rejected("oversized") == 1 &&
               rejected("malformed") == 1;
    })) << view(0);
    ASSERT_TRUE(wait_periods(5));
    EXPECT_EQ(view(0)["alive"], 2);
    EXPECT_EQ(view(0)["members"].size(), 2u);
    EXPECT_EQ(sidecars_reporting("member.dead") + sidecars_reporting("member.suspect"), 0u);
}

TEST_F(ClusterRig, IsOffIfSettingsForbidPeerMessages) {
    start("[sidecars]\ncount = 2\nmay_tell = false\n[sidecars.cluster]\nperiod_ms = 100\n");
    EXPECT_EQ(sidecars_reporting("cluster.off"), 2u);
    EXPECT_FALSE(lab->metrics(0).contains("cluster"));
    EXPECT_EQ(send_and_wait(0).end, End::served);
    EXPECT_EQ(lab->relay().counts().datagrams, 0u);
}

}  // namespace
}  // namespace mothring::lab::test
