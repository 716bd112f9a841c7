/// Members on loopback sockets, one of which restarts after its machine's wall clock was stepped: its life is
/// the time of its start, so that a later life may be smaller than earlier ones.
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
constexpr Millis kGatheringLimit = 300 * kPeriod;  // for what must come at some time
constexpr Millis kRejoiningLimit = 50 * kPeriod;   // for a member that restarted
constexpr std::uint64_t kProbesOfEverybody = 4;    // two rounds among three members

const std::string key(32, 'k');
const std::string member = "m";  // the one that restarts

/// Two members that stay, n1 and n2, and `member`, whose lives begin at times of the test's choice.
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
    /// A life of that name; the one before it ends without a word. `clock_step`: of its wall clock, ms.
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
    /// Whether the condition comes to hold within so long (ms).
    template <class Condition>
    bool until(Condition holds, Millis limit) {
        const auto end = std::chrono::steady_clock::now() + net::to_duration(limit);
        while (!holds()) {
            if (std::chrono::steady_clock::now() >= end) return false;
            io.run_one_until(end);
        }
        return true;
    }
    /// Waits so long on the protocol's own clock: the probes that the member makes.
    bool run_periods(std::uint64_t count) {
        const auto probes = [&] { return agent(member).statistics().counters.probes; };
        const std::uint64_t before = probes();
        return until([&] { return probes() >= before + count; }, kGatheringLimit);
    }
    std::uint64_t life_of_member() { return agent(member).statistics().members.front().instance_id; }
    /// Whether `observer` takes the present life of the member for alive.
    bool sees_member(const std::string& observer) {
        const std::vector<Claim> claims = agent(observer).statistics().members;
        return std::any_of(claims.begin(), claims.end(), [&](const Claim& claim) {
            return claim.name == member && claim.state == State::alive &&
                   claim.instance_id == life_of_member();
        });
    }
    bool all_see_member() { return sees_member("n1") && sees_member("n2"); }
    bool member_sees_all() { return agent(member).statistics().view.alive == 3; }
    /// Until the others have taken messages of this life: they know it from then on.
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
    std::vector<Millis> clock_steps;  // of the wall clock in each life, ms
};

std::ostream& operator<<(std::ostream& out, const Restarts& restarts) { return out << restarts.name; }

struct ClockSteps : RestartingMember, ::testing::WithParamInterface<Restarts> {};

TEST_P(ClockSteps, DoNotKeepALaterLifeOutAtTheSameAddress) {
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

TEST_P(ClockSteps, DoNotKeepALaterLifeOutAtAnotherAddress) {
    Millis limit = kGatheringLimit;
    for (const Millis step : GetParam().clock_steps) {
        start(member, any_port(), {tcp_of("n1")}, step);
        ASSERT_TRUE(becomes_known(limit)) << step;
        limit = kRejoiningLimit;
    }
}

TEST_P(ClockSteps, DoNotKeepALaterLifeOfTheSeedOut) {
    net::Udp::endpoint address = any_port();
    start(member, address, {}, GetParam().clock_steps.front());
    address = agent(member).address();
    start("n1", any_port(), {tcp_of(member)});
    start("n2", any_port(), {tcp_of(member)});
    ASSERT_TRUE(becomes_known(kGatheringLimit));
    for (std::size_t i = 1; i < GetParam().clock_steps.size(); ++i) {
        start(member, address, {}, GetParam().clock_steps[i]);
        // It waits for the others' next exchanges of states with it.
        ASSERT_TRUE(becomes_known(kRejoiningLimit)) << i;
    }
}

const Restarts restarts[] = {
    {"BackAnHour", {0, kMinute, 2 * kMinute - kHour}},
    {"BackAnHourTwice", {0, kMinute, 2 * kMinute - kHour, 3 * kMinute - 2 * kHour}},
    {"BackAnHourAndRightAgain", {0, kMinute, 2 * kMinute - kHour, 3 * kMinute}},
    {"ForwardAnHourAndRightAgain", {0, kMinute + kHour, 2 * kMinute}},
    {"ForwardAnHourForTwoLives", {0, kMinute + kHour, 2 * kMinute + kHour, 3 * kMinute}},
};
INSTANTIATE_TEST_SUITE_P(Wall, ClockSteps, ::testing::ValuesIn(restarts),
                         [](const auto& drawn) { return std::string(drawn.param.name); });

/// Who speaks as `member`, by datagrams that the test writes itself, to n1, which has met two of its lives.
struct ScriptedMember : RestartingMember {
    ScriptedMember() { meet_two_lives(); }
    void meet_two_lives() {
        Codec first(key, member, 11), second(key, member, 12);
        for (Codec* const earlier : {&first, &second}) EXPECT_TRUE(takes(earlier->seal(gossip())));
    }
    /// Sends it twice: whether n1 takes the first copy and rejects the second.
    bool takes(const Bytes& bytes) {
        const std::uint64_t before = replayed();
        const Bytes oversized(Codec::kLongestDatagram + 1);
        const std::uint64_t marks = rejected(Rejection::oversized);
        send(bytes);
        send(bytes);
        send(oversized);  // behind them, so that both have been read when it is counted
        return until([&] { return rejected(Rejection::oversized) == marks + 1; }, kGatheringLimit) &&
               replayed() == before + 1;
    }
    static Message gossip() { return {Message::Kind::gossip, 0, member, "", {}}; }
    static Message ack(std::uint64_t sequence) { return {Message::Kind::ack, sequence, member, "n1", {}}; }
    /// By which n1 shows that it has acted on a message: it holds a record of the member then.
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
    /// The sequence numbers of the pings that have come since the last call.
    std::vector<std::uint64_t> take_challenges() {
        std::vector<std::uint64_t> sequences;
        boost::system::error_code nothing;
        socket.non_blocking(true);
        std::array<std::uint8_t, Codec::kLongestDatagram> buffer{};
        for (std::size_t size = socket.receive(asio::buffer(buffer), 0, nothing); !nothing;
             size = socket.receive(asio::buffer(buffer), 0, nothing)) {
            const auto opened = later.open({buffer.data(), size}, Codec::kLongestDatagram);
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
    /// What n1 challenges the sender with, having got a message of the later life.
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
    Codec later{key, member, 5};  // smaller than the lives that are known
};

TEST_F(ScriptedMember, IsTakenFromItsAnswerToTheChallengeOnAndNotBefore) {
    const std::string address = net::format_endpoint(socket.local_endpoint());
    const Bytes unproven = later.seal(introduction(address));
    const auto sequence = provoke_challenge();
    ASSERT_TRUE(sequence);
    EXPECT_FALSE(takes(unproven));
    EXPECT_FALSE(takes(later.seal(ack(*sequence + 1))));
    EXPECT_FALSE(takes(later.seal(ack(0))));
    EXPECT_FALSE(is_known());
    EXPECT_TRUE(takes(later.seal(ack(*sequence))));
    EXPECT_FALSE(takes(unproven));
    EXPECT_FALSE(is_known());
    EXPECT_TRUE(takes(later.seal(introduction(address))));
    EXPECT_TRUE(is_known());
}

TEST_F(ScriptedMember, RecordedAnswerToAnEarlierChallengeProvesNothing) {
    const auto sequence = provoke_challenge();
    ASSERT_TRUE(sequence);
    const Bytes recorded = later.seal(ack(*sequence));
    EXPECT_TRUE(takes(recorded));
    start("n1", agent("n1").address(), {});  // knows nothing of the proof
    meet_two_lives();
    const auto another = provoke_challenge();
    ASSERT_TRUE(another);
    EXPECT_NE(*another, *sequence);
    EXPECT_FALSE(takes(recorded));
    EXPECT_TRUE(takes(later.seal(ack(*another))));
}

TEST_F(ScriptedMember, FloodOfReplayedDatagramsBringsAChallengeAPeriod) {
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
