// Tests of the membership without sockets, in simulated time: properties that must hold for any order, loss
// and timing of messages. Also tests of the sealed encoding of messages.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "cluster/codec.hpp"
#include "cluster/freshness_challenges.hpp"
#include "lab/fleet_sim.hpp"

namespace mothring::cluster::test {
namespace {

using lab::FleetSim;

constexpr Millis kPeriod = 1000;
const Parameters parameters;

std::size_t changes(const FleetSim& fleet, const std::string& what, const std::string& name = "") {
    return static_cast<std::size_t>(
        std::count_if(fleet.seen.begin(), fleet.seen.end(), [&](const FleetSim::Seen& s) {
            return s.change.what == what && (name.empty() || s.change.name == name);
        }));
}
bool all_see(FleetSim& fleet, std::size_t alive) {
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (fleet.alive(i) && fleet.at(i).view().alive != alive) return false;
    return true;
}

// ---- Claims

Claim claim_about(const std::string& name, State state, std::uint64_t incarnation, const std::string& by) {
    Claim claim;
    claim.name = name;
    claim.state = state;
    claim.incarnation = incarnation;
    claim.instance_id = 1;
    claim.by = by;
    claim.udp = claim.tcp = "127.0.0.1:1";
    return claim;
}

// A member table at its limit, with names of the greatest length of a host name, must fit into one state
// exchange and be merged completely.
TEST(Claims, OfFullMemberTableFitInOneStateExchange) {
    Sync sync{"m0", 1, true, {}};
    for (int i = 0; i < 1024; ++i) {
        std::string name = std::to_string(i);
        name.append(253 - name.size(), 'x');
        sync.claims.push_back(claim_about(name, State::alive, 1, ""));
        sync.claims.back().udp = sync.claims.back().tcp = "255.255.255.255:65535";
    }
    const std::string key(Codec::kMinKeyBytes, 'k');
    const Bytes bytes = Codec(key, "m0", 1).seal(sync);
    const auto opened = Codec(key, "me", 2).open(bytes, Codec::kMaxSyncBytes);
    ASSERT_TRUE(std::holds_alternative<Payload>(opened)) << bytes.size();
    const auto& claims = std::get<Sync>(std::get<Payload>(opened)).claims;
    Claim self;
    self.name = "me";
    Membership me(self, parameters, 1);
    Effects effects;
    me.merge(1, claims, "m0", effects);
    EXPECT_EQ(me.view().present(), 1025U);
    EXPECT_TRUE(me.view().quorum());
}

RC_GTEST_PROP(Claims, ConvergeForAnyOrderAndRepetition, ()) {
    const auto drawn = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 6)));
    auto again = drawn;
    again.insert(again.end(), drawn.begin(), drawn.end());
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(again.begin(), again.end(), random);
    const auto resulting_state = [](const std::vector<std::pair<int, int>>& claims) {
        Claim self;
        self.name = "me";
        Membership me(self, parameters, 1);
        Effects effects;
        me.merge(1, {claim_about("x", State::alive, 0, "")}, "y", effects);
        for (const auto& [state, incarnation] : claims) {
            Message message;
            message.kind = Message::Kind::gossip;
            message.from = "y";
            message.claims = {
                claim_about("x", static_cast<State>(state), static_cast<std::uint64_t>(incarnation), "y")};
            me.receive(1, message, "", effects);
        }
        const Claim x = *me.member("x");
        return std::pair(x.incarnation, x.state);
    };
    RC_ASSERT(resulting_state(drawn) == resulting_state(again));
}

TEST(Claims, AboutThisMemberAreRefutedByAGreaterIncarnation) {
    Claim self;
    self.name = "me";
    self.incarnation = 5;
    self.instance_id = 1;
    Membership me(self, parameters, 1);
    Effects effects;
    me.merge(1, {claim_about("x", State::alive, 1, "")}, "x", effects);
    Message message;
    message.from = "x";
    message.claims = {claim_about("me", State::suspect, 4, "x")};
    me.receive(1, message, "", effects);
    EXPECT_EQ(me.self().incarnation, 5u);  // the claim is older than this incarnation
    message.claims = {claim_about("me", State::dead, 7, "x")};
    me.receive(1, message, "", effects);
    EXPECT_EQ(me.self().incarnation, 8u);
    EXPECT_EQ(me.self().state, State::alive);
}

// A member that has left or is superseded never declares a suspect dead. If the end of that suspicion
// remained the result of next(), the caller would tick in a busy loop.
TEST(Claims, OfSuspectScheduleNothingForSupersededOrLeftMember) {
    for (const bool superseded : {true, false}) {
        Claim self;
        self.name = "me";
        self.instance_id = 1;
        Membership me(self, parameters, 1);
        Effects effects;
        me.tick(1, effects);
        me.merge(1, {claim_about("x", State::alive, 1, ""), claim_about("x", State::suspect, 1, "y")}, "y",
                 effects);
        Claim other = claim_about("me", State::alive, 9, "");
        other.instance_id = 2;
        if (superseded)
            me.merge(1, {other}, "y", effects);
        else
            me.leave(2, effects);
        ASSERT_EQ(me.superseded(), superseded);
        ASSERT_EQ(me.member("x")->state, State::suspect);
        constexpr Millis kLongAfter = 600 * kPeriod;
        me.tick(kLongAfter, effects);
        EXPECT_GT(me.next(), kLongAfter);
    }
}

TEST(Claims, OfAnotherInstanceSupersedeThisOneAfterItsFirstMerge) {
    Claim self;
    self.name = "me";
    self.incarnation = 5;
    self.instance_id = 1;
    Membership starting(self, parameters, 1), old(self, parameters, 1);
    Claim other = claim_about("me", State::alive, 9, "");
    other.instance_id = 2;
    Effects effects;
    starting.merge(1, {other}, "x", effects);  // a claim that remains of an earlier instance
    EXPECT_FALSE(starting.superseded());
    EXPECT_EQ(starting.self().incarnation, 10u);
    old.merge(1, {claim_about("x", State::alive, 1, "")}, "x", effects);
    EXPECT_TRUE(old.view().quorum());
    old.merge(1, {other}, "x", effects);
    EXPECT_TRUE(old.superseded());
    EXPECT_FALSE(old.view().quorum());
    Message ping;
    ping.from = "x";
    ping.target = "me";
    Effects silent;
    old.receive(2, ping, "", silent);
    old.tick(1e9, silent);
    EXPECT_TRUE(silent.sends.empty());
}

/// A member whose clock was stepped back can join through a member that does not know its earlier process
/// instance, and receive claims of that instance from others later. The earlier instance had the same
/// address, so it must have ended and must not supersede this one.
TEST(Claims, OfEarlierInstanceAtSameAddressDoNotSupersedeRestartedMember) {
    Claim self = claim_about("me", State::alive, 5, "");
    self.instance_id = 1;
    Claim earlier = self;
    earlier.instance_id = 2;
    for (const std::uint64_t incarnation : {5, 9}) {
        Membership me(self, parameters, 1);
        Effects effects;
        me.tick(1, effects);
        me.merge(1, {claim_about("x", State::alive, 1, "")}, "x", effects);
        earlier.incarnation = incarnation;
        me.merge(2, {earlier}, "y", effects);
        EXPECT_FALSE(me.superseded());
        EXPECT_EQ(me.self().incarnation, incarnation + 1);
        // Long after the start no claim of an earlier instance can arrive, so another process must have taken
        // over the address.
        Claim another = earlier;
        another.incarnation = incarnation + 10;
        another.instance_id = 3;
        me.merge(1000 * kPeriod, {another}, "y", effects);
        EXPECT_TRUE(me.superseded());
    }
}

TEST(Suspicion, TimeoutFallsFromMaximumToMinimumWithConfirmations) {
    for (const std::size_t members : {4, 8, 64, 1000}) {
        const Millis least = parameters.suspicion_timeout(members, 1000);
        EXPECT_DOUBLE_EQ(parameters.suspicion_timeout(members, 0), 6 * least) << members;
        EXPECT_GT(parameters.suspicion_timeout(members, 0), parameters.suspicion_timeout(members, 1));
        EXPECT_DOUBLE_EQ(parameters.suspicion_timeout(members, 2), least);
    }
    EXPECT_DOUBLE_EQ(parameters.suspicion_timeout(8, 2), 4 * kPeriod);
    EXPECT_DOUBLE_EQ(parameters.suspicion_timeout(2, 0), 4 * kPeriod);  // too few members for confirmations
}

// ---- Fleets

TEST(Fleet, DetectsKillWithinBoundAndSeesRestart) {
    FleetSim fleet(16, parameters, 0.05, 3);
    fleet.run(20 * kPeriod);
    ASSERT_TRUE(all_see(fleet, 16));
    const auto incarnation = fleet.at(0).member("n5")->incarnation;
    fleet.kill(5);
    fleet.run(2 * kPeriod + parameters.suspicion_timeout(16, 0));
    EXPECT_EQ(changes(fleet, "dead", "n5"), 15u);
    EXPECT_EQ(changes(fleet, "dead"), 15u);  // no other member was declared dead
    fleet.restart(5);
    fleet.run(20 * kPeriod);
    EXPECT_TRUE(all_see(fleet, 16));
    EXPECT_EQ(changes(fleet, "rejoined", "n5"), 15u);
    EXPECT_GT(fleet.at(0).member("n5")->incarnation, incarnation);
}

TEST(Fleet, DeclaresNoMemberDeadUnderLossOrShortPause) {
    FleetSim fleet(16, parameters, 0.2, 4);
    fleet.run(3600 * kPeriod);
    EXPECT_EQ(changes(fleet, "dead"), 0u);
    EXPECT_GT(changes(fleet, "refuted"), 0u);  // there were suspicions
    FleetSim calm(8, parameters, 0, 5);
    calm.run(20 * kPeriod);
    calm.pause(3);
    calm.run(3 * kPeriod);
    EXPECT_GT(changes(calm, "suspect", "n3"), 0u);
    calm.resume(3);
    calm.run(30 * kPeriod);
    EXPECT_EQ(changes(calm, "dead"), 0u);
    EXPECT_GT(changes(calm, "refuted", "n3"), 0u);
    EXPECT_TRUE(all_see(calm, 8));
}

TEST(Fleet, PartitionHalvesLoseQuorumAndMergeAfterHealing) {
    FleetSim fleet(16, parameters, 0.05, 6);
    fleet.run(20 * kPeriod);
    fleet.passes = [](std::size_t from, std::size_t to) { return (from < 8) == (to < 8); };
    fleet.run(40 * kPeriod);
    for (std::size_t i = 0; i < 16; ++i) {
        EXPECT_EQ(fleet.at(i).view().present(), 8u) << i;
        EXPECT_FALSE(fleet.at(i).view().quorum()) << i;
    }
    fleet.passes = [](std::size_t, std::size_t) { return true; };
    fleet.run(1.25 * parameters.min_sync_periods * kPeriod + 3 * 4 * kPeriod);
    EXPECT_TRUE(all_see(fleet, 16));
    for (std::size_t i = 0; i < 16; ++i) EXPECT_TRUE(fleet.at(i).view().quorum()) << i;
}

TEST(Fleet, MemberThatLeftIsNeitherExpectedNorSuspected) {
    FleetSim fleet(4, parameters, 0, 7);
    fleet.run(10 * kPeriod);
    for (std::size_t i = 1; i < 4; ++i) {
        Effects effects;
        fleet.at(i).leave(fleet.now(), effects);
        Effects received;
        for (const auto& send : effects.sends)
            if (send.to == "n0") fleet.at(0).receive(fleet.now(), send.message, "", received);
        fleet.kill(i);
    }
    const View view = fleet.at(0).view();
    EXPECT_EQ(view.left, 3u);
    EXPECT_EQ(view.expected, 1u);
    EXPECT_TRUE(view.quorum());
}

// ---- The sealed encoding

const std::string key = "sixteen bytes or more";

Message sample() {
    Message message;
    message.kind = Message::Kind::ping_request;
    message.sequence = 77;
    message.from = "n1";
    message.target = "n2";
    message.claims = {claim_about("n3", State::suspect, 1ULL << 60, "n1")};
    return message;
}

TEST(Codec, AcceptsPayloadOnceAndRejectsOtherKey) {
    Codec sender(key, "n1", 1), receiver(key, "n2", 1), other_key("another sixteen bytes", "n1", 1);
    const Bytes bytes = sender.seal(sample());
    const auto opened = receiver.open(bytes, Codec::kMaxDatagramBytes);
    const auto* const message = std::get_if<Message>(&std::get<Payload>(opened));
    ASSERT_TRUE(message);
    EXPECT_EQ(message->from, "n1");
    EXPECT_EQ(message->sequence, 77u);
    ASSERT_EQ(message->claims.size(), 1u);
    EXPECT_EQ(message->claims[0].incarnation, 1ULL << 60);
    EXPECT_EQ(message->claims[0].by, "n1");
    const auto rejected = [&](const Bytes& given) {
        return std::get<Rejection>(receiver.open(given, Codec::kMaxDatagramBytes));
    };
    EXPECT_EQ(rejected(bytes), Rejection::replayed);
    EXPECT_EQ(rejected(other_key.seal(sample())), Rejection::forged);
    EXPECT_EQ(rejected(Bytes(Codec::kMaxDatagramBytes + 1, 1)), Rejection::oversized);
    EXPECT_EQ(rejected({}), Rejection::malformed);
    Bytes newer = sender.seal(sample());
    newer[0] = 9;
    EXPECT_EQ(rejected(newer), Rejection::version);
    // Late messages within the replay window are accepted, older ones are rejected, and so are messages of an
    // instance before the last two.
    const Bytes late = sender.seal(sample());
    for (int i = 0; i < 500; ++i) receiver.open(sender.seal(sample()), Codec::kMaxDatagramBytes);
    EXPECT_TRUE(std::holds_alternative<Payload>(receiver.open(late, Codec::kMaxDatagramBytes)));
    EXPECT_EQ(rejected(late), Rejection::replayed);
    const Bytes too_late = sender.seal(sample());
    for (int i = 0; i < 1100; ++i) receiver.open(sender.seal(sample()), Codec::kMaxDatagramBytes);
    EXPECT_EQ(rejected(too_late), Rejection::replayed);
    Codec second(key, "n1", 2), third(key, "n1", 3);
    receiver.open(second.seal(sample()), Codec::kMaxDatagramBytes);
    receiver.open(third.seal(sample()), Codec::kMaxDatagramBytes);
    EXPECT_EQ(rejected(sender.seal(sample())), Rejection::replayed);
}

/// A receiver that knows the process instances 11 and 12 of n1, and a later process of that name with a lower
/// instance ID, as after a backward step of the wall clock.
struct SteppedBack : ::testing::Test {
    SteppedBack() {
        receiver.open(first.seal(sample()), Codec::kMaxDatagramBytes);
        receiver.open(second.seal(sample()), Codec::kMaxDatagramBytes);
    }
    auto open(const Bytes& bytes) { return receiver.open(bytes, Codec::kMaxDatagramBytes); }
    bool accepts(const Bytes& bytes) { return std::holds_alternative<Payload>(open(bytes)); }
    bool leaves_unproven(const Bytes& bytes) { return std::holds_alternative<Unproven>(open(bytes)); }
    bool rejects_as_replayed(const Bytes& bytes) {
        const auto opened = open(bytes);
        const auto* const why = std::get_if<Rejection>(&opened);
        return why && *why == Rejection::replayed;
    }
    void prove(Codec& sender) { receiver.accept_instance(std::get<Unproven>(open(sender.seal(sample())))); }

    Codec first{key, "n1", 11}, second{key, "n1", 12}, later{key, "n1", 5}, receiver{key, "n2", 1};
};

TEST_F(SteppedBack, UnknownLowerInstanceStaysUnprovenOnRepetition) {
    const Bytes bytes = later.seal(sample());
    for (int times = 0; times < 3; ++times) {
        const auto opened = open(bytes);
        const auto* const unproven = std::get_if<Unproven>(&opened);
        ASSERT_TRUE(unproven);
        EXPECT_EQ(unproven->from, "n1");
        EXPECT_EQ(unproven->instance_id, 5u);
        EXPECT_EQ(unproven->counter, 1u);
        EXPECT_EQ(std::get<Message>(unproven->payload).sequence, 77u);
    }
    EXPECT_TRUE(accepts(second.seal(sample())));
    EXPECT_TRUE(accepts(first.seal(sample())));
}

TEST_F(SteppedBack, ProvenInstanceIsAcceptedOncePerMessageAfterProof) {
    const Bytes before = later.seal(sample());
    prove(later);
    const Bytes after = later.seal(sample());
    EXPECT_TRUE(accepts(after));
    EXPECT_TRUE(rejects_as_replayed(after));
    EXPECT_TRUE(rejects_as_replayed(before));
}

TEST_F(SteppedBack, DroppedInstancesAreRejectedAfterProof) {
    const std::vector<Bytes> recorded{first.seal(sample()), first.seal(sample()), first.seal(sample())};
    for (const Bytes& bytes : recorded) EXPECT_TRUE(accepts(bytes));
    prove(later);  // replaces the first instance, whose window is dropped
    for (const Bytes& bytes : recorded) EXPECT_TRUE(rejects_as_replayed(bytes));
    Codec latest(key, "n1", 4), greater(key, "n1", 20);
    prove(latest);
    EXPECT_TRUE(accepts(latest.seal(sample())));
    EXPECT_FALSE(accepts(later.seal(sample())));
    EXPECT_TRUE(accepts(greater.seal(sample())));
    for (const Bytes& bytes : recorded) EXPECT_TRUE(rejects_as_replayed(bytes));
}

TEST_F(SteppedBack, DroppedProvenInstanceCanProveItselfAgainWithoutOldMessages) {
    prove(later);
    const Bytes recorded = later.seal(sample());
    EXPECT_TRUE(accepts(recorded));
    Codec recording(key, "n1", 13);  // of an instance that the receiver does not know
    EXPECT_TRUE(accepts(recording.seal(sample())));
    EXPECT_TRUE(leaves_unproven(recorded));
    prove(later);
    EXPECT_TRUE(rejects_as_replayed(recorded));
    EXPECT_TRUE(accepts(later.seal(sample())));
}

TEST_F(SteppedBack, NoneOfManyReplacedInstancesIsAcceptedAgain) {
    std::vector<Bytes> recorded;
    for (std::uint64_t instance_id = 100; instance_id < 200; ++instance_id) {
        Codec sender(key, "n1", instance_id);
        recorded.push_back(sender.seal(sample()));
        EXPECT_TRUE(accepts(recorded.back()));
    }
    for (const Bytes& bytes : recorded) EXPECT_FALSE(accepts(bytes));
}

/// Returns challenges with the sequence numbers 1001, 1002 and so on, so that a test can distinguish them.
FreshnessChallenges counted_challenges(std::uint64_t& drawn) {
    return FreshnessChallenges(kPeriod, [&drawn] { return 1000 + ++drawn; });
}
using Receiver = FreshnessChallenges::Receiver;

TEST(FreshnessChallenges, AcceptOneAnswerWithMatchingNameAndSequenceInTime) {
    std::uint64_t drawn = 0;
    FreshnessChallenges challenges = counted_challenges(drawn);
    ASSERT_EQ(challenges.issue(0, "n1", "127.0.0.1:1", Receiver::member), 1001u);
    EXPECT_FALSE(challenges.answer(1, "n1", 1000));
    EXPECT_FALSE(challenges.answer(1, "n1", 0));
    EXPECT_FALSE(challenges.answer(1, "n2", 1001));
    EXPECT_TRUE(challenges.answer(1, "n1", 1001));
    EXPECT_FALSE(challenges.answer(1, "n1", 1001));
    ASSERT_EQ(challenges.issue(kPeriod, "n1", "127.0.0.1:1", Receiver::member), 1002u);
    EXPECT_FALSE(challenges.answer(2 * kPeriod - 1, "n1", 1001));  // a replay of the earlier answer
    EXPECT_FALSE(challenges.answer(2 * kPeriod, "n1", 1002));      // after the lifetime
}

TEST(FreshnessChallenges, AreBoundedInNumberAndRateUnderReplay) {
    std::uint64_t drawn = 0;
    FreshnessChallenges challenges = counted_challenges(drawn);
    constexpr int kFlood = 10000, kPeriods = 5;
    for (int i = 0; i < kFlood; ++i) {
        const Millis now = static_cast<Millis>(i) * kPeriods * kPeriod / kFlood;
        challenges.issue(now, "n1", "127.0.0.1:1", Receiver::unknown);
    }
    EXPECT_EQ(drawn, static_cast<std::uint64_t>(kPeriods));  // one per period to the same address
    drawn = 0;
    const Millis later = 2 * kPeriods * kPeriod;
    for (int i = 0; i < kFlood; ++i)
        challenges.issue(later, "n1", "127.0.0.1:" + std::to_string(i), Receiver::unknown);
    EXPECT_EQ(drawn, FreshnessChallenges::kMaxToUnknown);
    // The limit for unknown addresses leaves the challenges to members unaffected.
    for (int i = 0; i < kFlood; ++i)
        challenges.issue(later, "n2", "127.0.0.2:" + std::to_string(i), Receiver::member);
    EXPECT_EQ(drawn, FreshnessChallenges::kMaxToUnknown + FreshnessChallenges::kMaxToMembers);
}

RC_GTEST_PROP(Codec, RejectsModifiedOrTruncatedBytesWithoutThrowing, ()) {
    Codec sender(key, "n1", 1), receiver(key, "n2", 1);
    Bytes bytes = sender.seal(sample());
    if (*rc::gen::arbitrary<bool>()) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<std::uint8_t>(bytes[at] ^ *rc::gen::inRange(1, 256));
    } else {
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    }
    RC_ASSERT(std::holds_alternative<Rejection>(receiver.open(bytes, Codec::kMaxDatagramBytes)));
}

}  // namespace
}  // namespace mothring::cluster::test
