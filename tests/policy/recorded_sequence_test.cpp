// Plays long seeded sequences of events, of all kinds and under settings of all kinds, and compares a digest
// of every action with the one recorded. A change that is meant to keep behaviour must keep the digests. One
// that is meant to change it prints the new ones, and its commit says why they change.
#include <gtest/gtest.h>

#include <bit>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mothring/balancer.hpp"

namespace mothring::test {
namespace {

// FNV-1a, 64 bits.
class Digest {
public:
    void add(std::uint64_t word) {
        for (int shift = 0; shift < 64; shift += 8) {
            value_ ^= (word >> shift) & 0xff;
            value_ *= 0x100000001b3;
        }
    }
    void add(Millis time) { add(std::bit_cast<std::uint64_t>(time)); }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0xcbf29ce484222325;
};

// SplitMix64. The test has a generator of its own, so that the balancer's draws don't disturb its own.
class Generator {
public:
    explicit Generator(std::uint64_t seed) : state_(seed) {}
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    bool chance(double probability) { return unit() < probability; }
    std::uint32_t below(std::uint32_t count) { return static_cast<std::uint32_t>(unit() * count); }
    // Exponentially distributed, in steps that don't depend on the mathematics library.
    Millis gap(Millis mean) {
        int halvings = 0;
        while (halvings < 10 && chance(0.5)) ++halvings;
        return mean * (halvings + unit());
    }

private:
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }
    std::uint64_t state_;
};

constexpr std::uint32_t kZones = 3, kKinds = 3, kCells = 2, kTenants = 3;

RequestClass draw_class(Generator& draw, std::uint32_t number) {
    RequestClass c;
    c.idempotency = static_cast<Idempotency>(number % 3);
    c.dedup_scope = static_cast<DedupScope>(draw.below(3));
    c.dedup_window = 500 + 4000 * draw.unit();
    c.latency_objective = 100 + 400 * draw.unit();
    c.objective_per_effort = draw.chance(0.5) ? 2 * draw.unit() : 0;
    c.priority_weight = 0.5 + 3 * draw.unit();
    if (draw.chance(0.15)) c.zones = {draw.below(kZones), draw.below(kZones)};
    if (draw.chance(0.15)) c.kinds = {draw.below(kKinds), draw.below(kKinds)};
    return c;
}

Settings draw_settings(Generator& draw) {
    Settings s;
    const std::uint32_t classes = 2 + draw.below(4);
    for (std::uint32_t i = 0; i < classes; ++i) s.classes.push_back(draw_class(draw, i));
    if (draw.chance(0.5)) s.my_zone = draw.below(kZones);
    s.fleet_size = 1 + draw.below(400);
    s.must_subscribe = draw.chance(0.5);
    s.resubscribe_within = draw.chance(0.5) ? 4000 : 0;
    s.max_attempts = 1 + draw.below(4);
    s.may_hedge = draw.chance(0.5);
    s.may_cancel = draw.chance(0.7);
    s.max_retry_after = draw.chance(0.5) ? 2000 : 0;
    s.slow_start_min_capacity = draw.unit();
    s.slow_start_window = draw.chance(0.8) ? 10000 * draw.unit() : 0;
    s.overload_multiple = 1 + 2 * draw.unit();
    s.overloaded_may_have_run = draw.chance(0.3);
    if (draw.chance(0.5)) s.tenant_quotas = {0.5, 0.3, 0.2};
    s.over_quota_weight = draw.unit();
    s.costs.cross_zone = draw.chance(0.5) ? draw.unit() : 0;
    s.affinity_load_bound = 1 + draw.unit();
    return s;
}

// A fleet of servers with faults, its discovery and its clients, as far as one balancer sees them.
class World {
public:
    explicit World(std::uint64_t seed)
        : draw_(seed),
          settings_(draw_settings(draw_)),
          server_count_(3 + draw_.below(60)),
          request_gap_(4 + 40 * draw_.unit()),
          balancer_(settings_, seed) {}

    std::uint64_t play(int requests) {
        give(Started{});
        for (ServerId id = 1; id <= server_count_; ++id) servers_[id] = new_server(id, 0);
        give(EndpointList{ListKind::cached, listed()});
        requests_left_ = requests;
        schedule_next_request();
        schedule_in(200, [this] { give(EndpointList{ListKind::full, listed()}); });
        schedule_upset();
        while (!due_.empty()) {
            const auto next = due_.begin();
            now_ = std::max(now_, next->first.first);
            const std::function<void()> what = std::move(next->second);
            due_.erase(next);
            what();
        }
        digest_.add(static_cast<std::uint64_t>(events_));
        return digest_.value();
    }

    // How often each kind of action was taken, by its tag below.
    const std::map<char, int>& actions() const { return action_counts_; }

private:
    struct Server {
        EndpointInfo info;
        Millis service = 50;
        double failing = 0;  // share of its attempts that fail
        Outcome failure = Outcome::failed;
    };
    struct Request {
        std::uint32_t attempts = 0;
        bool ended = false;
        std::map<std::uint32_t, ServerId> out;  // attempts that have not ended
    };

    Server new_server(ServerId id, Millis started_at) {
        Server s;
        s.info = {id,         draw_.below(kZones), draw_.below(kCells),      EndpointState::active,
                  started_at, draw_.below(kKinds), (id * 0x9e3779b97f4a7c15)};
        s.service = 20 + 60 * draw_.unit() * (1 + s.info.kind);
        if (draw_.chance(0.1)) make_faulty(s);
        return s;
    }
    void make_faulty(Server& s) {
        constexpr Outcome kFailures[] = {
            Outcome::failed,    Outcome::overloaded,      Outcome::connect_failed, Outcome::connection_lost,
            Outcome::timed_out, Outcome::invalid_request, Outcome::not_sent};
        s.failing = draw_.chance(0.5) ? 1 : draw_.unit();
        s.failure = kFailures[draw_.below(std::size(kFailures))];
    }
    std::vector<EndpointInfo> listed() const {
        std::vector<EndpointInfo> infos;
        for (const auto& [id, s] : servers_)
            if (s.info.state != EndpointState::removed) infos.push_back(s.info);
        return infos;
    }

    void schedule(Millis at, std::function<void()> what) { due_[{at, next_order_++}] = std::move(what); }
    void schedule_in(Millis delay, std::function<void()> what) { schedule(now_ + delay, std::move(what)); }

    void schedule_next_request() {
        if (requests_left_ == 0) return;
        // Every now and then a crowd.
        const bool crowd = requests_left_ % 400 < 100;
        schedule_in(draw_.gap(crowd ? request_gap_ / 10 : request_gap_), [this] {
            --requests_left_;
            arrive();
            schedule_next_request();
        });
    }

    void arrive() {
        const RequestId id = next_request_++;
        RequestArrived e;
        e.id = id;
        e.class_index = draw_.below(static_cast<std::uint32_t>(settings_.classes.size()) + 1);  // one unknown
        e.time_left = 50 + 1500 * draw_.unit();
        e.effort = draw_.chance(0.5) ? 100 * draw_.unit() : 0;
        e.is_retry = draw_.chance(0.1);
        e.tenant = draw_.below(kTenants + 1);
        e.body_incomplete = draw_.chance(0.1);
        e.affinity_hash = draw_.chance(0.3) ? 1 + draw_.below(20) : 0;
        requests_[id];
        if (e.body_incomplete) {
            schedule_in(300 * draw_.unit(), [this, id, left = e.time_left] { give(BodyComplete{id, left}); });
        }
        if (draw_.chance(0.05)) schedule_in(200 * draw_.unit(), [this, id] { give(BodyDiscarded{id}); });
        if (draw_.chance(0.05)) {
            schedule_in(500 * draw_.unit(), [this, id] {
                requests_[id].ended = true;
                give(ClientDisconnected{id});
            });
        }
        give(e);
    }

    void end_attempt(RequestId id, std::uint32_t attempt, Outcome outcome, Millis duration) {
        Request& r = requests_[id];
        if (r.out.erase(attempt) == 0) return;
        if (outcome == Outcome::completed || outcome == Outcome::invalid_request) r.ended = true;
        give(AttemptEnded{id, attempt, outcome, duration, r.ended});
    }

    // What happens to the fleet and to discovery.
    void schedule_upset() {
        if (requests_left_ == 0) return;
        schedule_in(draw_.gap(400), [this] {
            upset();
            schedule_upset();
        });
    }
    void upset() {
        switch (draw_.below(12)) {
            case 0:
                return change_server([this](Server& s) { make_faulty(s); });
            case 1:
                return change_server([](Server& s) { s.failing = 0; });
            case 2:
                return list_change([](Server& s) { s.info.state = EndpointState::draining; });
            case 3:
                return list_change([](Server& s) { s.info.state = EndpointState::removed; });
            case 4:
                return list_change([this](Server& s) {
                    s = new_server(s.info.id, draw_.chance(0.1) ? 0 : now_);
                    s.info.state = EndpointState::active;
                });
            case 5: {
                const ServerId id = ++server_count_;
                servers_[id] = new_server(id, now_);
                return give(EndpointList{ListKind::incremental, {servers_[id].info}});
            }
            case 6:
                return give(EndpointList{ListKind::full, listed()});
            case 7:
                return fail_list();
            case 8:
                return lose_zone();
            case 9: {
                const bool quorum = draw_.chance(0.7);
                return give(MemberView{1 + draw_.below(50), quorum});
            }
            case 10:
                return give(ProcessOverlap{draw_.chance(0.5)});
            default:
                give(HealthCheckEnded{1 + draw_.below(server_count_), Outcome::completed, 3});
                return give(PeerMessage{1, {1, 2, 3}});
        }
    }
    Server& any_server() { return servers_[1 + draw_.below(server_count_)]; }
    template <class Change>
    void change_server(Change change) {
        change(any_server());
    }
    template <class Change>
    void list_change(Change change) {
        Server& s = any_server();
        change(s);
        give(EndpointList{ListKind::incremental, {s.info}});
    }
    void fail_list() {
        constexpr ListFailure kFailures[] = {ListFailure::unreachable, ListFailure::rejected,
                                             ListFailure::broken, ListFailure::timed_out};
        EndpointList failed{ListKind::failed, {}};
        failed.failure = kFailures[draw_.below(std::size(kFailures))];
        if (draw_.chance(0.7)) failed.notified_within = -500 + 6000 * draw_.unit();
        if (draw_.chance(0.3)) failed.retry_after = 3000 * draw_.unit();
        give(failed);
    }
    void lose_zone() {
        const ZoneId zone = draw_.below(kZones);
        for (auto& [id, s] : servers_) {
            if (s.info.zone != zone) continue;
            s.failing = 1;
            s.failure = Outcome::connect_failed;
        }
        schedule_in(2000, [this, zone] {
            for (auto& [id, s] : servers_)
                if (s.info.zone == zone) s.failing = 0;
        });
    }

    void give(const Event& event) {
        ++events_;
        std::vector<Action> actions;
        balancer_.handle(now_, event, actions);
        for (const Action& action : actions) std::visit([this](const auto& taken) { take(taken); }, action);
        const Balancer::Gauges held = balancer_.gauges();
        digest_.add(std::uint64_t{held.requests});
        digest_.add(std::uint64_t{held.servers});
        digest_.add(std::uint64_t{held.timers});
        digest_.add(std::uint64_t{held.unavailable});
    }

    void record(char tag) {
        ++action_counts_[tag];
        digest_.add(static_cast<std::uint64_t>(tag));
    }
    void take(const SendAttempt& send) {
        record('S');
        digest_.add(send.id);
        digest_.add(std::uint64_t{send.server});
        digest_.add(send.deadline);
        digest_.add(send.send_by);
        Request& r = requests_[send.id];
        const std::uint32_t attempt = r.attempts++;
        r.out[attempt] = send.server;
        const Server& s = servers_[send.server];
        const bool fails = draw_.chance(s.failing);
        const Outcome outcome = fails ? s.failure : Outcome::completed;
        // A server is slower the more it has at a time; one that refuses says so at once.
        Millis takes = draw_.gap(s.service) * (1 + 0.3 * static_cast<double>(out_at(send.server)));
        if (outcome == Outcome::connect_failed || outcome == Outcome::overloaded) takes = 1 + draw_.unit();
        if (outcome == Outcome::timed_out || now_ + takes > send.deadline) {
            const Millis ends = std::max(now_, send.deadline);
            schedule(ends, [this, id = send.id, attempt, span = ends - now_] {
                end_attempt(id, attempt, Outcome::timed_out, span);
            });
            return;
        }
        if (outcome == Outcome::completed && draw_.chance(0.1)) {
            schedule_in(takes / 2, [this, id = send.id, attempt] {
                if (!requests_[id].out.contains(attempt)) return;
                requests_[id].ended = true;
                give(ResponseStarted{id, attempt});
            });
        }
        schedule_in(takes, [this, id = send.id, attempt, outcome, takes] {
            end_attempt(id, attempt, outcome, takes);
        });
    }
    void take(const CancelAttempt& cancel) {
        record('C');
        digest_.add(cancel.id);
        digest_.add(std::uint64_t{cancel.attempt});
        schedule_in(0, [this, cancel] { end_attempt(cancel.id, cancel.attempt, Outcome::cancelled, 0); });
    }
    void take(const RejectRequest& refuse) {
        record('R');
        digest_.add(refuse.id);
        digest_.add(refuse.retry_after);
        requests_[refuse.id].ended = true;
    }
    void take(const FailRequest& failed) {
        record('G');
        digest_.add(failed.id);
        requests_[failed.id].ended = true;
    }
    void take(const SetTimer& timer) {
        record('T');
        digest_.add(timer.at);
        digest_.add(timer.token);
        // Beyond this the sequence has ended.
        constexpr Millis kNeverWithin = 1e9;
        if (timer.at < kNeverWithin)
            schedule(std::max(now_, timer.at), [this, token = timer.token] { give(TimerFired{token}); });
    }
    void take(const Subscribe& subscribe) {
        record('U');
        digest_.add(std::uint64_t{subscribe.active});
    }
    void take(const EndpointEjected& ejected) {
        EXPECT_GT(ejected.until, now_);
        record('E');
        digest_.add(std::uint64_t{ejected.server});
    }
    void take(const EndpointRestored& restored) {
        record('H');
        digest_.add(std::uint64_t{restored.server});
    }
    void take(const auto&) { ADD_FAILURE() << "an action that no decision takes"; }

    int out_at(ServerId server) const {
        int out = 0;
        for (const auto& [id, r] : requests_) {
            for (const auto& [attempt, at] : r.out) out += at == server;
        }
        return out;
    }

    Generator draw_;
    Settings settings_;
    std::uint32_t server_count_;
    Millis request_gap_;
    Balancer balancer_;
    Digest digest_;
    Millis now_ = 100000;
    int events_ = 0;
    int requests_left_ = 0;
    RequestId next_request_ = 1;
    std::uint64_t next_order_ = 0;
    std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> due_;  // in order of time
    std::map<ServerId, Server> servers_;
    std::map<RequestId, Request> requests_;
    std::map<char, int> action_counts_;
};

constexpr int kRequests = 2000;  // of each sequence
// Of the sequences with the seeds 1, 2, 3 and so on.
constexpr std::uint64_t kDigests[] = {
    0xf760315f4bfe18a7, 0x4c370b8e7b645124, 0xdc78fee4476a2d61, 0xd4de5f26ce353b3c,
    0xcefd9535374e8a4b, 0xbba2a1c779b42ac7, 0xba666aeafc1cd4d1, 0xee2482682f6bb58f,
    0x6d76ffa4f87dd400, 0x965daf618f6e2632, 0x8cedce979707463b, 0x3bcbabef8c21b022,
    0x1bcb7c7d6d689382, 0x3e10b1329453b305, 0x4a0ef8582b04b228, 0xbf33f78e49a1838a};

TEST(RecordedSequence, TakesTheSameActions) {
    std::map<char, int> actions;
    std::uint64_t seed = 0;
    for (const std::uint64_t expected : kDigests) {
        World world(++seed);
        EXPECT_EQ(world.play(kRequests), expected) << "seed " << seed;
        for (const auto& [tag, count] : world.actions()) actions[tag] += count;
    }
    for (const char tag : std::string("SCRGTUEH"))
        EXPECT_GT(actions[tag], 20) << "the sequences hardly take the action " << tag;
}

}  // namespace
}  // namespace mothring::test
