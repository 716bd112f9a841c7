// Tests the parsing of messages and the host on text in the simulator's format.
#include <gtest/gtest.h>

#include <sstream>

#include "wire/host.hpp"

namespace mothring::wire {
namespace {

const std::string start_line =
    "START who=sidecar-3 entropy=5192284302740068 azs=hall-a,hall-b classes.count=2 "
    "classes.0.credit=3.0 classes.0.dedup-scope=all classes.0.dedup-window-ms=5000.0 "
    "classes.0.effect=repeatable classes.0.give-up-ms=1500.0 classes.0.late-value=0.0 classes.0.name=listen "
    "classes.0.on-time-ms=400.0 classes.1.effect=once classes.1.name=deposit classes.1.on-time-ms=300.0 "
    "fees.cross-zone=0.02 granularity-ms=5.0 limits.max-attempts=4 limits.may-cancel=true "
    "limits.parallel-tries=false membership-mode=pushed my-zone=hall-b rules.cold-from=0.16 "
    "rules.grace-to-answer-ms=20.0 rules.warm-within-ms=20000.0 some.future-setting=7\n";
const std::string catalog =
    "CATALOG ref=0 items=2\n"
    "M server=server_a rack-zone=hall-a kind=standard-4 pod=0 phase=on units=1\n"
    "M server=server_b rack-zone=hall-b kind=standard-4 pod=0 phase=on units=1.5\n";
const std::string saved = "PEERS_KNOWN who=sidecar-3 ref=0 index=41 mode=SAVED\n";
const std::string accept = "ACCEPT who=sidecar-3 rid=r-1 effort-ms=12.0 grade=listen time-left-ms=240.0\n";
const std::string over_to_you = "OVER_TO_YOU\n";

std::string mark(int frame, double now = 1000) {
    return "MARK now-ms=" + std::to_string(now) + " frame=" + std::to_string(frame) + "\n";
}

struct RunResult {
    int status;
    std::string out, err;
};
RunResult run(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, err;
    const int status = Host(in, out, err).run();
    return {status, out.str(), err.str()};
}
const std::string opening = mark(1) + start_line + catalog + saved + over_to_you;

TEST(Host, AcceptsAnEmptyBatchAndTheEndOfInput) {
    const RunResult result = run(mark(1) + over_to_you);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.out, "END frame=1\n");
    EXPECT_EQ(run("").status, 0);
}

TEST(Host, DispatchesARequestAndSetsItsDeadlineTimer) {
    const RunResult result = run(opening + mark(2, 1010) + accept + over_to_you);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_NE(result.out.find("DISPATCH who=sidecar-3 rid=r-1 server=server_"), std::string::npos)
        << result.out;
    EXPECT_NE(result.out.find("AFTER who=sidecar-3 at-ms=1250.000 nonce="), std::string::npos) << result.out;
    EXPECT_NE(result.out.find("END frame=2\n"), std::string::npos);
}

// Guards against a Retry-After that is missing although the settings allow one, or sent although they don't.
// The request is rejected because no server is known.
TEST(Host, SendsRetryAfterOnRejectionOnlyIfTheSettingsAllow) {
    for (const bool allowed : {true, false}) {
        std::string start = start_line;
        start.insert(start.find(" membership-mode"),
                     std::string(" limits.max-retry-after-ms=1500.0 limits.retry-after=") +
                         (allowed ? "true" : "false"));
        const RunResult sent = run(mark(1) + start + over_to_you + mark(2, 1010) + accept + over_to_you);
        // The timer is set to a sixteenth of the latency objective.
        const std::string after = "AFTER who=sidecar-3 at-ms=1035.000 nonce=";
        ASSERT_NE(sent.out.find(after), std::string::npos) << sent.out;
        const std::string nonce = sent.out.substr(sent.out.find(after) + after.size(), 1);
        const RunResult result =
            run(mark(1) + start + over_to_you + mark(2, 1010) + accept + over_to_you + mark(3, 1035) +
                "TICK_DUE who=sidecar-3 nonce=" + nonce + "\n" + over_to_you);
        EXPECT_EQ(result.out.find("retry-in-ms=1500") != std::string::npos, allowed) << result.out;
        EXPECT_NE(result.out.find("r-1"), std::string::npos) << result.out;
    }
}

TEST(Host, RetriesOnAnotherServerAfterAFailedConnection) {
    const RunResult first = run(opening + mark(2, 1010) + accept + over_to_you);
    const bool a = first.out.find("server=server_a") != std::string::npos;
    const std::string sent = a ? "server_a" : "server_b", other = a ? "server_b" : "server_a";
    const RunResult result =
        run(opening + mark(2, 1010) + accept + over_to_you + mark(3, 1020) +
            "VERDICT who=sidecar-3 rid=r-1 server=" + sent +
            " duration-ms=10 rc=refused_conn hop=0 metrics=active:3,cpu:0.5\n" + over_to_you);
    EXPECT_NE(result.out.find("DISPATCH who=sidecar-3 rid=r-1 server=" + other), std::string::npos)
        << result.out;
}

TEST(Host, AcceptsAReusedCatalogNumberWithinABatch) {
    const std::string second = "CATALOG ref=0 items=1\nM server=server_c rack-zone=hall-a pod=0 phase=on\n";
    const RunResult result =
        run(mark(1) + start_line + catalog + saved + second +
            "PEERS_KNOWN who=sidecar-3 ref=0 index=42 mode=FULL\n" + accept + over_to_you);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_NE(result.out.find("server=server_c"), std::string::npos) << result.out;
}

TEST(Host, RestartWithinABatchDiscardsTheState) {
    const RunResult result = run(opening + mark(2) + accept + "POWER_OFF who=sidecar-3\n" + start_line +
                                 saved + accept + over_to_you);
    EXPECT_EQ(result.status, 0) << result.err;
}

TEST(Host, InstancesShareNoState) {
    std::string other = start_line;
    other.replace(other.find("sidecar-3"), 9, "sidecar-9");
    const RunResult result =
        run(mark(1) + start_line + other + catalog + saved + over_to_you + mark(2) +
            "ACCEPT who=sidecar-9 rid=r-9 grade=listen time-left-ms=240\n" + over_to_you);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.out.find("DISPATCH"), std::string::npos) << "sidecar-9 has received no list";
}

TEST(Host, SkipsStaleEventsAndUnknownKinds) {
    const RunResult result =
        run(opening + mark(2) + "EXPIRED who=sidecar-3 rid=never\n" +
            "VERDICT who=sidecar-3 rid=never server=server_a rc=completed hop=0 terminal=1\n" +
            "TICK_DUE who=sidecar-3 nonce=77\nHEALTH who=sidecar-3 server=server_a rc=completed\n" +
            "MEMO who=sidecar-3 src-peer=2 msg=-\nNOVELTY who=sidecar-3 x=1\nNOVELTY x=2\n" + over_to_you);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_EQ(result.err.find("NOVELTY"), result.err.rfind("NOVELTY")) << "reported once";
    EXPECT_NE(result.err.find("NOVELTY"), std::string::npos);
}

TEST(Host, MalformedInputIsReportedInOneLineWithItsLocation) {
    const auto error_for = [](const std::string& text) {
        const RunResult result = run(text);
        EXPECT_NE(result.status, 0) << text;
        EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
        return result.err;
    };
    const auto expect_contains = [](const std::string& text, const std::string& part) {
        EXPECT_NE(text.find(part), std::string::npos) << text;
    };
    expect_contains(
        error_for(opening + mark(2) + "ACCEPT who=sidecar-3 rid=r-1 grade=listen\n" + over_to_you),
        "line 9: ACCEPT: field 'time-left-ms'");
    expect_contains(error_for(opening + mark(2) +
                              "ACCEPT who=sidecar-3 rid=r grade=listen time-left-ms=abc\n" + over_to_you),
                    "'time-left-ms'");
    expect_contains(error_for(opening + mark(2) + "ACCEPT who=sidecar-8 rid=r grade=listen time-left-ms=1\n" +
                              over_to_you),
                    "'who'");
    expect_contains(error_for(mark(1) + "CATALOG ref=0 items=2\nM server=a phase=on\n" + over_to_you),
                    "'items'");
    expect_contains(error_for(mark(1) + "CATALOG ref=16 items=0\n" + over_to_you), "'ref'");
    expect_contains(error_for(opening + mark(2) + accept), "OVER_TO_YOU");
    expect_contains(error_for(opening + mark(2) + "TICK_DUE who=sidecar-3 nonce=-4\n" + over_to_you),
                    "'nonce'");
    expect_contains(error_for(opening + mark(2) +
                              "VERDICT who=sidecar-3 rid=r-1 server=server_a hop=0 rc=odd\n" + over_to_you),
                    "'rc'");
    expect_contains(error_for(opening + mark(2) + "MEMO who=sidecar-3 src-peer=1 msg=abc\n" + over_to_you),
                    "'msg'");
    expect_contains(error_for("OVER_TO_YOU\n"), "MARK");
}

TEST(Host, ReportsInvalidSettingsAsAFault) {
    std::string bad = start_line;
    bad.replace(bad.find("rules.cold-from=0.16"), 20, "rules.cold-from=1.60");
    const RunResult result = run(mark(1) + bad + over_to_you);
    EXPECT_NE(result.out.find("FAULT who=sidecar-3 words="), std::string::npos) << result.out;
    EXPECT_NE(result.out.find("cold_from"), std::string::npos) << result.out;
}

TEST(Host, FaultNamesTheSettingThatIsInvalid) {
    const std::string start =
        "START who=a entropy=1 classes.count=1 classes.0.name=x classes.0.on-time-ms=9 ";
    for (const auto& [rest, name] : {std::pair{"classes.0.effect=twice", "classes.0.effect"},
                                     {"classes.0.effect=by_key classes.0.dedup-scope=hall", "dedup-scope"},
                                     {"classes.0.effect=once classes.0.confined-to=", "zones"},
                                     {"classes.0.effect=once rules.warm-within-ms=-1", "warm_within"}}) {
        const RunResult result = run(mark(1) + start + rest + "\n" + over_to_you);
        EXPECT_NE(result.out.find("FAULT who=a words="), std::string::npos) << result.out;
        EXPECT_NE(result.out.find(name), std::string::npos) << result.out;
    }
}

TEST(Codec, ReadsAllSettings) {
    const Site site = read_site(Message(std::string_view(start_line).substr(0, start_line.size() - 1), 1));
    EXPECT_EQ(site.settings.classes.size(), 2U);
    EXPECT_EQ(site.settings.classes[1].idempotency, Idempotency::never);
    EXPECT_EQ(site.settings.classes[0].latency_objective, 400);
    EXPECT_EQ(site.settings.my_zone, ZoneId{1});
    EXPECT_EQ(site.settings.slow_start_min_capacity, 0.16);
    EXPECT_EQ(site.settings.costs.cross_zone, 0.02);
    EXPECT_FALSE(site.settings.must_subscribe);
    EXPECT_EQ(site.classes[1], "deposit");
}

TEST(Codec, ReadsPlacementQuotasAndOverloadedMayHaveRun) {
    const std::string line =
        "START who=a entropy=1 azs=n,s models=fast,slow classes.count=2 classes.0.name=x "
        "classes.0.effect=once classes.0.on-time-ms=9 classes.0.confined-to=s,n classes.1.name=y "
        "classes.1.effect=once classes.1.on-time-ms=9 classes.1.models-allowed=slow "
        "rules.busy-is-no-proof=true rules.ask-within-ms=7 tenants.count=1 tenants.0.name=t "
        "tenants.0.share=0.4 over-share-worth=0.3";
    Site site = read_site(Message(line, 1));
    const Settings& settings = site.settings;
    EXPECT_EQ(settings.classes[0].zones, (std::vector<ZoneId>{1, 0}));
    EXPECT_FALSE(settings.classes[0].kinds);
    EXPECT_EQ(settings.classes[1].kinds, std::vector<KindId>{site.kind("slow")});
    EXPECT_FALSE(settings.classes[1].zones);
    EXPECT_TRUE(settings.overloaded_may_have_run);
    EXPECT_EQ(settings.resubscribe_within, 7);
    EXPECT_EQ(settings.tenant_quotas, std::vector<double>{0.4});
    EXPECT_EQ(settings.over_quota_weight, 0.3);
}

TEST(Host, SendsAConfinedClassOnlyToItsZoneAndKind) {
    const auto is_dispatched = [](const std::string& server) {
        std::istringstream in(
            "MARK now-ms=1 frame=1\nSTART who=a entropy=1 azs=n,s classes.count=1 classes.0.name=x "
            "classes.0.effect=once classes.0.on-time-ms=99 classes.0.confined-to=s "
            "classes.0.models-allowed=slow\nCATALOG ref=0 items=1\nM server=b " +
            server +
            " phase=on\nPEERS_KNOWN who=a ref=0 index=1 mode=FULL\n"
            "ACCEPT who=a rid=r grade=x time-left-ms=90\nOVER_TO_YOU\n");
        std::ostringstream out, err;
        EXPECT_EQ(Host(in, out, err).run(), 0) << err.str();
        return out.str().find("DISPATCH") != std::string::npos;
    };
    EXPECT_TRUE(is_dispatched("rack-zone=s kind=slow"));
    EXPECT_FALSE(is_dispatched("rack-zone=n kind=slow"));
    EXPECT_FALSE(is_dispatched("rack-zone=s kind=fast"));
}

TEST(Codec, BytesRoundTrip) {
    EXPECT_EQ(read_bytes(Message("MEMO msg=68692037", 1), "msg"),
              (std::vector<std::uint8_t>{0x68, 0x69, 0x20, 0x37}));
    EXPECT_TRUE(read_bytes(Message("MEMO msg=-", 1), "msg").empty());
}

TEST(Host, AnswersAMegabyteLongBatchCompletely) {
    std::string batch = opening + mark(2);
    for (int i = 0; i < 20000; ++i)
        batch += "ACCEPT who=sidecar-3 rid=long-" + std::to_string(i) + " grade=deposit time-left-ms=500\n";
    const RunResult result = run(batch + over_to_you + mark(3, 9000) + over_to_you);
    EXPECT_EQ(result.status, 0);
    EXPECT_NE(result.out.find("END frame=3\n"), std::string::npos);
}

}  // namespace
}  // namespace mothring::wire
