/// Tests with members on loopback sockets, one of which restarts after its machine's wall clock was stepped.
/// The instance ID is derived from the start time, so a later process instance may have a lower ID than
/// earlier ones.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "cluster/agent.hpp"
#include "net/address.hpp"

namespace mothring::cluster::test {
namespace {

namespace asio = boost::asio;

constexpr Millis kPeriod = 100;
constexpr Millis kMinute = 60 * 1000;
constexpr Millis kHour = 60 * kMinute;
constexpr Millis kGatheringLimit = 300 * kPeriod;  // for conditions without a tight bound
constexpr Millis kRejoiningLimit = 50 * kPeriod;   // for a member that restarted
constexpr std::uint64_t kProbesOfEverybody = 4;    // two rounds among three members

const std::string key(32, 'k');
const std::string member = "m";  // the member that restarts

/// Two members that keep running, n1 and n2, and `member`, which each test starts repeatedly.
struct RestartingMember : ::testing::Test {
    RestartingMember() {
        start("n1", any_port(), {});
        start("n2", any_port(), {tcp_of("n1")});
    }

    static net::Udp::endpoint any_port() { return {asio::ip::address_v4::loopback(), 0}; }
    Agent& agent(const std::string& name) { return *agents.at(name); }
    net::Tcp::endpoint tcp_of(const std::string& name) {
        const net::Udp::endpoint address = agent(name).address();
        return {address.address(), address.port()};
    }
    /// Starts a process instance of that name; the previous one ends without leaving the fleet. `clock_step`
    /// is the step of its wall clock in ms.
    void start(const std::string& name, const net::Udp::endpoint& bind, std::vector<net::Tcp::endpoint> seeds,
               Millis clock_step = 0) {
        agents.erase(name);
        Settings settings;
        settings.bind = bind;
        settings.seeds = std::move(seeds);
        settings.key = key;
        settings.parameters.period = kPeriod;
        agents[name] = std::make_unique<Agent>(io, std::move(settings), name, "1", Agent::Callbacks{},
                                               net::Clock(clock_step));
    }
    /// Returns whether the condition holds within `limit` ms.
    template <class Condition>
    bool until(Condition holds, Millis limit) {
        const auto end = std::chrono::steady_clock::now() + net::to_duration(limit);
        while (!holds()) {
            if (std::chrono::steady_clock::now() >= end) return false;
            io.run_one_until(end);
        }
        return true;
    }
    /// Waits for a number of protocol periods, measured by the probes of the member rather than by wall time.
    bool run_periods(std::uint64_t count) {
        const auto probes = [&] { return agent(member).statistics().counters.probes; };
        const std::uint64_t before = probes();
        return until([&] { return probes() >= before + count; }, kGatheringLimit);
    }
    std::uint64_t instance_of_member() { return agent(member).statistics().members.front().instance_id; }
    /// Returns whether `observer` sees the member's current process instance as alive.
    bool sees_member(const std::string& observer) {
        const std::vector<Claim> claims = agent(observer).statistics().members;
        return std::any_of(claims.begin(), claims.end(), [&](const Claim& claim) {
            return claim.name == member && claim.state == State::alive &&
                   claim.instance_id == instance_of_member();
        });
    }
    bool all_see_member() { return sees_member("n1") && sees_member("n2"); }
    bool member_sees_all() { return agent(member).statistics().view.alive == 3; }
    /// Waits until all members see each other and the member has probed every other one, so that its process
    /// instance is known to them.
    bool becomes_known(Millis limit) {
        return until(
            [&] {
                return all_see_member() && member_sees_all() &&
                       agent(member).statistics().counters.probes >= kProbesOfEverybody;
            },
            limit);
    }

    asio::io_context io;
    std::map<std::string, std::unique_ptr<Agent>> agents;
};

struct Restarts {
    const char* name;
    std::vector<Millis> clock_steps;  // wall clock step of each process instance, ms
};

std::ostream& operator<<(std::ostream& out, const Restarts& restarts) { return out << restarts.name; }

struct ClockSteps : RestartingMember, ::testing::WithParamInterface<Restarts> {};

TEST_P(ClockSteps, AllowRejoiningAtSameAddress) {
    net::Udp::endpoint address = any_port();
    Millis limit = kGatheringLimit;
    for (const Millis step : GetParam().clock_steps) {
        start(member, address, {tcp_of("n1")}, step);
        address = agent(member).address();
        ASSERT_TRUE(becomes_known(limit)) << step;
        limit = kRejoiningLimit;
    }
    ASSERT_TRUE(run_periods(20));
    EXPECT_TRUE(all_see_member());
    EXPECT_TRUE(member_sees_all());
    EXPECT_FALSE(agent(member).statistics().superseded);
}

TEST_P(ClockSteps, AllowRejoiningAtAnotherAddress) {
    Millis limit = kGatheringLimit;
    for (const Millis step : GetParam().clock_steps) {
        start(member, any_port(), {tcp_of("n1")}, step);
        ASSERT_TRUE(becomes_known(limit)) << step;
        limit = kRejoiningLimit;
    }
}

TEST_P(ClockSteps, AllowRestartedSeedToRejoin) {
    net::Udp::endpoint address = any_port();
    start(member, address, {}, GetParam().clock_steps.front());
    address = agent(member).address();
    start("n1", any_port(), {tcp_of(member)});
    start("n2", any_port(), {tcp_of(member)});
    ASSERT_TRUE(becomes_known(kGatheringLimit));
    for (std::size_t i = 1; i < GetParam().clock_steps.size(); ++i) {
        start(member, address, {}, GetParam().clock_steps[i]);
        // The restarted seed has no seeds itself, so it rejoins at the next state exchange begun by the
        // others.
        ASSERT_TRUE(becomes_known(kRejoiningLimit)) << i;
    }
}

const Restarts restarts[] = {
    {"BackAnHour", {0, kMinute, 2 * kMinute - kHour}},
    {"BackAnHourTwice", {0, kMinute, 2 * kMinute - kHour, 3 * kMinute - 2 * kHour}},
    {"BackAnHourThenCorrected", {0, kMinute, 2 * kMinute - kHour, 3 * kMinute}},
    {"ForwardAnHourThenCorrected", {0, kMinute + kHour, 2 * kMinute}},
    {"ForwardAnHourForTwoInstances", {0, kMinute + kHour, 2 * kMinute + kHour, 3 * kMinute}},
};
INSTANTIATE_TEST_SUITE_P(Wall, ClockSteps, ::testing::ValuesIn(restarts),
                         [](const auto& drawn) { return std::string(drawn.param.name); });

/// Sends datagrams written by the test as `member` to n1, which knows two process instances of that name.
struct ScriptedMember : RestartingMember {
    ScriptedMember() { introduce_two_instances(); }
    void introduce_two_instances() {
        Codec first(key, member, 11), second(key, member, 12);
        for (Codec* const earlier : {&first, &second}) EXPECT_TRUE(accepts(earlier->seal(gossip())));
    }
    /// Sends the datagram twice. Returns whether n1 accepts the first copy and rejects the second as
    /// replayed.
    bool accepts(const Bytes& bytes) {
        const std::uint64_t before = replayed();
        const Bytes oversized(Codec::kMaxDatagramBytes + 1);
        const std::uint64_t marks = rejected(Rejection::oversized);
        send(bytes);
        send(bytes);
        send(oversized);  // sent last, so that both copies have been read when this one is counted
        return until([&] { return rejected(Rejection::oversized) == marks + 1; }, kGatheringLimit) &&
               replayed() == before + 1;
    }
    static Message gossip() { return {Message::Kind::gossip, 0, member, "", {}}; }
    static Message ack(std::uint64_t sequence) { return {Message::Kind::ack, sequence, member, "n1", {}}; }
    /// Returns a message with a claim about the member. n1 has a record of the member after it has processed
    /// this message.
    static Message introduction(const std::string& address) {
        Message message = gossip();
        Claim claim;
        claim.name = member;
        claim.incarnation = 1;
        claim.instance_id = 5;
        claim.udp = claim.tcp = address;
        message.claims = {claim};
        return message;
    }
    void send(const Bytes& bytes) { socket.send_to(asio::buffer(bytes), agent("n1").address()); }
    /// Returns the sequence numbers of the pings received since the last call.
    std::vector<std::uint64_t> take_challenges() {
        std::vector<std::uint64_t> sequences;
        boost::system::error_code nothing;
        socket.non_blocking(true);
        std::array<std::uint8_t, Codec::kMaxDatagramBytes> buffer{};
        for (std::size_t size = socket.receive(asio::buffer(buffer), 0, nothing); !nothing;
             size = socket.receive(asio::buffer(buffer), 0, nothing)) {
            const auto opened = later.open({buffer.data(), size}, Codec::kMaxDatagramBytes);
            const auto& ping = std::get<Message>(std::get<Payload>(opened));
            EXPECT_EQ(ping.kind, Message::Kind::ping);
            EXPECT_EQ(ping.target, member);
            EXPECT_TRUE(ping.claims.empty());
            sequences.push_back(ping.sequence);
        }
        return sequences;
    }
    std::uint64_t rejected(Rejection why) {
        return agent("n1").statistics().rejected[static_cast<std::size_t>(why)];
    }
    std::uint64_t replayed() { return rejected(Rejection::replayed); }
    bool is_known() {
        const std::vector<Claim> claims = agent("n1").statistics().members;
        return std::any_of(claims.begin(), claims.end(),
                           [](const Claim& claim) { return claim.name == member; });
    }
    /// Sends n1 a message of the later instance, and returns the sequence number of the challenge that n1
    /// answers with.
    std::optional<std::uint64_t> provoke_challenge() {
        send(later.seal(gossip()));
        std::vector<std::uint64_t> sequences;
        const auto comes = [&] {
            sequences = take_challenges();
            return !sequences.empty();
        };
        if (!until(comes, kGatheringLimit)) return std::nullopt;
        return sequences.front();
    }

    net::Udp::socket socket{io, any_port()};
    Codec later{key, member, 5};  // lower than the known instances
};

TEST_F(ScriptedMember, IsAcceptedOnlyAfterAnsweringChallenge) {
    const std::string address = net::format_endpoint(socket.local_endpoint());
    const Bytes unproven = later.seal(introduction(address));
    const auto sequence = provoke_challenge();
    ASSERT_TRUE(sequence);
    EXPECT_FALSE(accepts(unproven));
    EXPECT_FALSE(accepts(later.seal(ack(*sequence + 1))));
    EXPECT_FALSE(accepts(later.seal(ack(0))));
    EXPECT_FALSE(is_known());
    EXPECT_TRUE(accepts(later.seal(ack(*sequence))));
    EXPECT_FALSE(accepts(unproven));
    EXPECT_FALSE(is_known());
    EXPECT_TRUE(accepts(later.seal(introduction(address))));
    EXPECT_TRUE(is_known());
}

TEST_F(ScriptedMember, ReplayedAnswerToEarlierChallengeProvesNothing) {
    const auto sequence = provoke_challenge();
    ASSERT_TRUE(sequence);
    const Bytes recorded = later.seal(ack(*sequence));
    EXPECT_TRUE(accepts(recorded));
    start("n1", agent("n1").address(), {});  // a new instance of n1, which does not know the proof
    introduce_two_instances();
    const auto another = provoke_challenge();
    ASSERT_TRUE(another);
    EXPECT_NE(*another, *sequence);
    EXPECT_FALSE(accepts(recorded));
    EXPECT_TRUE(accepts(later.seal(ack(*another))));
}

TEST_F(ScriptedMember, ReplayFloodCausesAtMostOneChallengePerPeriod) {
    constexpr std::uint64_t kFlood = 5000, kAtOnce = 50;
    const auto begun = std::chrono::steady_clock::now();
    const Bytes recorded = later.seal(gossip());
    const std::uint64_t before = replayed();
    std::size_t challenges = 0;
    for (std::uint64_t sent = 0; sent < kFlood; sent += kAtOnce) {
        for (std::uint64_t i = 0; i < kAtOnce; ++i) send(recorded);
        ASSERT_TRUE(until([&] { return replayed() == before + sent + kAtOnce; }, kGatheringLimit));
        challenges += take_challenges().size();
    }
    const Millis took = net::millis(std::chrono::steady_clock::now() - begun);
    EXPECT_GE(challenges, 1u);
    EXPECT_LE(static_cast<double>(challenges), 1 + took / kPeriod);
}

}  // namespace
}  // namespace mothring::cluster::test
