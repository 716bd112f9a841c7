// Rule 4 over a whole fleet: what all balancers together send to each cold server, in every window of the
// time in which it would fall, against what it may be sent then and what is put down to chance. The fleet,
// its servers and its clients are simulated here; their clock is the simulation's.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "mothring/balancer.hpp"

namespace mothring::test {
namespace {

struct World {
    std::size_t balancers = 20;
    std::size_t servers = 24;
    double load = 0.55;       // of what all of them can do when warm
    double slow_share = 0;    // of the servers that are of the slow kind
    double slow_pace = 0.45;  // of a fast one's
    double skew = 1;          // the spread of the balancers' shares of traffic: 0 alike
    double largest = 0;       // the first balancer's share of all traffic; 0: as drawn
    int cores = 2;            // of each server
    bool by_term = false;     // the budget as the terms word it, wider where it is under 30
    std::function<double(Millis)> demand = [](Millis) { return 1.0; };  // at that time, of `load`
    std::function<bool(std::size_t server)> restarts = [](std::size_t s) { return s == 0; };
    Millis restarts_at = 20000, length = 50000;
    Millis balancers_restart_at = 0;  // all of them; 0: none
    int balancer_restarts = 1;        // so often, a window of the budget apart
    std::function<void(Settings&)> rules = [](Settings&) {};
    std::uint64_t seed = 1;
};

Settings settings_of(const World& world) {
    RequestClass c;
    c.idempotency = Idempotency::always;
    c.latency_objective = 750;
    Settings s;
    s.classes = {c};
    s.max_attempts = 4;
    s.fleet_size = static_cast<std::uint32_t>(world.balancers);
    s.slow_start_min_capacity = 0.16;
    s.slow_start_window = 23000;
    s.overload_multiple = 4;
    s.overload_window = 3000;
    world.rules(s);
    return s;
}

class Fleet {
public:
    explicit Fleet(World w) : world_(std::move(w)), settings_(settings_of(world_)), random_(world_.seed) {
        for (std::size_t s = 0; s < world_.servers; ++s) {
            Server server;
            server.slow =
                static_cast<double>(s) + 0.5 < world_.slow_share * static_cast<double>(world_.servers);
            servers_.push_back(server);
            whole_rate_ += world_.cores / service_of(server, 1);
        }
        std::lognormal_distribution<double> share(0, world_.skew);
        for (std::size_t b = 0; b < world_.balancers; ++b) {
            shares_.push_back(share(random_));
            sum_ += shares_.back();
            begin(b);
        }
        if (world_.largest > 0) {
            sum_ -= shares_[0];
            shares_[0] = sum_ * world_.largest / (1 - world_.largest);
            sum_ += shares_[0];
        }
        for (std::size_t b = 0; b < world_.balancers; ++b) next_arrival(b, 0);
        at(world_.restarts_at, [this] {
            for (std::size_t s = 0; s < servers_.size(); ++s)
                if (world_.restarts(s)) servers_[s].started = now_, servers_[s].queue.clear();
            for (std::size_t b = 0; b < balancers_.size(); ++b) give(b, list());
        });
        for (int i = 0; world_.balancers_restart_at > 0 && i < world_.balancer_restarts; ++i)
            at(world_.balancers_restart_at + i * settings_.overload_window, [this] {
                for (std::size_t b = 0; b < balancers_.size(); ++b) begin(b);
            });
        while (!due_.empty() && due_.top().at < world_.length) {
            const auto next = due_.top();
            due_.pop();
            now_ = next.at;
            next.what();
        }
    }

    // The worst window of any server: sent, against what it may be; above 1 the rule is broken.
    struct Worst {
        double ratio = 0, sent = 0, allowed = 0;
        Millis from = 0;
    };
    Worst worst() const {
        Worst worst;
        for (const Server& s : servers_) {
            std::size_t last = 0;
            for (std::size_t first = 0; first < s.sent.size(); ++first) {
                const Millis from = s.sent[first];
                while (last < s.sent.size() && s.sent[last] <= from + settings_.overload_window) ++last;
                const double n = settings_.overload_multiple * share_at(s, from) * world_.cores /
                                 service_of(s, 1) * settings_.overload_window;
                const double allowed = allowed_for(n), sent = static_cast<double>(last - first);
                if (sent / allowed > worst.ratio) worst = {sent / allowed, sent, allowed, from};
            }
        }
        return worst;
    }
    // Of requests that arrived after the restart.
    double served_share() const { return static_cast<double>(served_) / static_cast<double>(arrived_); }
    std::size_t sent_to_cold() const {
        std::size_t count = 0;
        for (const Server& s : servers_) count += s.sent.size();
        return count;
    }

private:
    struct Job {
        std::size_t balancer;
        std::uint64_t life;
        RequestId id;
        std::uint32_t attempt;
        Millis sent;
    };
    struct Server {
        bool slow = false;
        Millis started = 0;  // 0: long ago
        int busy = 0;
        std::deque<Job> queue;
        std::vector<Millis> sent;  // while it was cold
    };
    struct One {
        std::unique_ptr<Balancer> balancer;
        std::uint64_t life = 0;
        std::map<RequestId, std::uint32_t> attempts;
    };
    struct Due {
        Millis at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Due& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    // N and what is put down to chance.
    double allowed_for(double n) const {
        const double chance = world_.by_term && n < 30 ? 3 : 2;
        return n + chance * std::sqrt(n) + chance;
    }
    void at(Millis when, std::function<void()> what) { due_.push({when, next_++, std::move(what)}); }
    double share_at(const Server& s, Millis when) const {
        if (s.started == 0) return 1;
        return std::min(1.0, settings_.slow_start_min_capacity + (1 - settings_.slow_start_min_capacity) *
                                                                     (when - s.started) /
                                                                     settings_.slow_start_window);
    }
    // The time of one request on one core.
    double service_of(const Server& s, double share) const {
        return kService / (s.slow ? world_.slow_pace : 1) / share;
    }
    EndpointList list() const {
        EndpointList list{ListKind::full, {}};
        for (std::size_t s = 0; s < servers_.size(); ++s)
            list.servers.push_back({static_cast<ServerId>(s + 1), 0, 0, EndpointState::active,
                                    servers_[s].started > 0 ? kEpoch + servers_[s].started : 0,
                                    servers_[s].slow ? 1U : 0U});
        return list;
    }
    void begin(std::size_t b) {
        if (balancers_.size() <= b) balancers_.resize(b + 1);
        One& one = balancers_[b];
        one = {std::make_unique<Balancer>(settings_, random_()), one.life + 1, {}};
        give(b, Started{});
        give(b, list());
    }
    void next_arrival(std::size_t b, Millis after) {
        // Thinned from the highest demand, so that it may change at any time.
        const double rate = world_.load * whole_rate_ * shares_[b] / sum_;
        const Millis when = after + std::exponential_distribution<double>(rate * kPeak)(random_);
        at(when, [this, b] {
            if (std::uniform_real_distribution<double>(0, kPeak)(random_) < world_.demand(now_)) {
                arrived_ += now_ > world_.restarts_at;
                give(b, RequestArrived{next_id_++, 0, kDeadline});
            }
            next_arrival(b, now_);
        });
    }
    void give(std::size_t b, const Event& event) {
        One& one = balancers_[b];
        std::vector<Action> actions;
        one.balancer->handle(kEpoch + now_, event, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action)) {
                const std::uint32_t number = one.attempts[send->id]++;
                take(send->server - 1, {b, one.life, send->id, number, now_});
            } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
                at(std::max(now_, timer->at - kEpoch), [this, b, life = one.life, token = timer->token] {
                    if (balancers_[b].life == life) give(b, TimerFired{token});
                });
            }
        }
    }
    void take(std::size_t s, const Job& job) {
        Server& server = servers_[s];
        if (share_at(server, now_) < 1) server.sent.push_back(now_);
        server.queue.push_back(job);
        work(s);
    }
    void work(std::size_t s) {
        Server& server = servers_[s];
        while (server.busy < world_.cores && !server.queue.empty()) {
            const Job job = server.queue.front();
            server.queue.pop_front();
            ++server.busy;
            const Millis lasts = std::lognormal_distribution<double>(-0.08, 0.4)(random_) *
                                 service_of(server, share_at(server, now_));
            at(now_ + lasts, [this, s] { --servers_[s].busy, work(s); });
            at(now_ + lasts + kElsewhere, [this, job] {
                if (balancers_[job.balancer].life != job.life) return;
                const bool late = now_ - job.sent > kDeadline;
                served_ += !late && job.sent > world_.restarts_at;
                give(job.balancer,
                     AttemptEnded{job.id, job.attempt, late ? Outcome::timed_out : Outcome::completed,
                                  now_ - job.sent, !late});
            });
        }
    }

    static constexpr Millis kEpoch = 1e6, kService = 61, kElsewhere = 145, kDeadline = 2500;
    static constexpr double kPeak = 4;

    const World world_;
    const Settings settings_;
    std::mt19937_64 random_;
    std::vector<Server> servers_;
    std::vector<One> balancers_;
    std::vector<double> shares_;
    double sum_ = 0, whole_rate_ = 0;
    std::priority_queue<Due> due_;
    std::uint64_t next_ = 0;
    RequestId next_id_ = 1;
    Millis now_ = 0;
    std::size_t arrived_ = 0, served_ = 0;
};

constexpr std::size_t kSizes[] = {20, 30, 350};

// One fleet of the given size, as the world says. Seeds are fixed, so a run is as another.
void expect_kept_at(World world, std::size_t balancers, std::uint64_t seed, const char* what,
                    std::size_t least_sent) {
    world.balancers = balancers;
    world.seed = seed;
    const Fleet fleet(world);
    const Fleet::Worst worst = fleet.worst();
    const std::string run = std::to_string(balancers) + "_" + std::to_string(seed);
    testing::Test::RecordProperty("worst_" + run, std::to_string(worst.ratio));
    testing::Test::RecordProperty("sent_to_cold_" + run, std::to_string(fleet.sent_to_cold()));
    testing::Test::RecordProperty("served_" + run, std::to_string(fleet.served_share()));
    EXPECT_LE(worst.ratio, 1) << what << ", " << balancers << " balancers, seed " << seed << ": "
                              << worst.sent << " sent where " << worst.allowed << " may be, from "
                              << worst.from;
    EXPECT_GT(fleet.sent_to_cold(), least_sent) << "they are to be warmed too";
}

constexpr std::size_t kLeastSent = 20;

// Which servers start.
bool every(std::size_t) { return true; }
bool every_second(std::size_t server) { return server % 2 == 0; }
bool first_three(std::size_t server) { return server < 3; }

void expect_kept(World world, const char* what) {
    for (const std::size_t balancers : kSizes)
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            world.servers = std::max<std::size_t>(24, balancers / 5);
            expect_kept_at(world, balancers, seed, what, kLeastSent);
        }
}

TEST(ColdFleet, OneServerStartsUnderSteadyTraffic) { expect_kept({}, "steady"); }

TEST(ColdFleet, HalfOfTheServersStart) {
    World w;
    w.restarts = every_second;
    expect_kept(w, "half");
}

TEST(ColdFleet, AllServersStartAtOnce) {
    World w;
    w.restarts = every;
    expect_kept(w, "all");
}

// The slow ones start among fast ones that stay warm: their part is that of their kind.
TEST(ColdFleet, SlowServersStartAmongFastOnes) {
    World w;
    w.slow_share = 0.5;
    w.load = 0.8;
    w.restarts = first_three;
    expect_kept(w, "slow");
}

// What idle balancers have saved up must not all be spent as the traffic comes back.
TEST(ColdFleet, TrafficComesBackInABurst) {
    World w;
    w.load = 0.35;
    w.demand = [](Millis t) { return t < 22000 ? 1.0 : t < 32000 ? 0.03 : t < 34000 ? 2.0 : 0.5; };
    expect_kept(w, "burst");
}

TEST(ColdFleet, BurstsEveryFewSeconds) {
    World w;
    w.load = 0.4;
    w.demand = [](Millis t) { return std::fmod(t, 5000) < 800 ? 2.2 : 0.15; };
    expect_kept(w, "bursts");
}

// Rules that leave less: a smaller multiple, over a shorter time, from colder on.
TEST(ColdFleet, StricterRules) {
    World w;
    w.slow_share = 0.5;
    w.load = 0.7;
    w.rules = [](Settings& s) {
        s.overload_multiple = 2, s.overload_window = 1500, s.slow_start_min_capacity = 0.1;
    };
    w.restarts = first_three;
    expect_kept(w, "steady");
    w.load = 0.35;
    w.demand = [](Millis t) { return t < 18000 ? 1.0 : t < 21000 ? 0.0 : t < 23000 ? 2.0 : 0.5; };
    expect_kept(w, "burst");
}

// Seen to fail while each was fed by what the mean warm server does, whatever its kind.
TEST(ColdFleet, SlowServersFallAtJustWhatTheyCanDo) {
    World w;
    w.slow_share = 0.5;
    w.load = 0.8;
    w.rules = [](Settings& s) {
        s.overload_multiple = 1, s.overload_window = 1000, s.slow_start_min_capacity = 0.1;
    };
    w.restarts = first_three;
    expect_kept(w, "slow");
}

// New processes know nothing of what the old ones sent.
TEST(ColdFleet, AllBalancersRestartWhileAServerIsCold) {
    World w;
    w.balancers_restart_at = 22500;
    expect_kept(w, "restart");
}

// The budget binds however few or many sidecars there are: one alone, whose own count is all there is, two or
// three that each hold a large part, and 900 whose least rates and saved-up sends add up. The traffic of the
// fleet is what its servers can do, so a sidecar of a large fleet sees little of it.
constexpr std::size_t kFewOrMany[] = {1, 2, 3, 8, 900};

void expect_kept_few_or_many(World world, const char* what, std::size_t least_sent = kLeastSent) {
    world.by_term = true;
    for (const std::size_t balancers : kFewOrMany) {
        if (balancers > 100) world.length = std::min(world.length, world.restarts_at + 14000);
        expect_kept_at(world, balancers, 1, what, least_sent);
    }
}

TEST(ColdFleetOfAnySize, OneServerStarts) { expect_kept_few_or_many({}, "steady"); }

TEST(ColdFleetOfAnySize, HalfOfTheServersStart) {
    World w;
    w.restarts = every_second;
    expect_kept_few_or_many(w, "half");
}

TEST(ColdFleetOfAnySize, AllServersStart) {
    World w;
    w.restarts = every;
    expect_kept_few_or_many(w, "all");
}

TEST(ColdFleetOfAnySize, TrafficStopsWhileAServerIsColdAndComesBackInABurst) {
    World w;
    w.load = 0.9;
    w.demand = [](Millis t) { return t < 21000 ? 1.0 : t < 29000 ? 0.0 : t < 32000 ? 2.0 : 0.5; };
    expect_kept_few_or_many(w, "burst");
}

// A long quiet time first: what little each may always send has added up when all ask at once.
TEST(ColdFleetOfAnySize, QuietFromBeforeTheStartThenABurst) {
    World w;
    w.load = 0.9;
    w.restarts = every_second;
    w.demand = [](Millis t) { return t < 10000 ? 0.5 : t < 30000 ? 0.0 : t < 32000 ? 3.0 : 0.5; };
    expect_kept_few_or_many(w, "quiet");
}

TEST(ColdFleetOfAnySize, OneSidecarHasMostOfTheTraffic) {
    World w;
    w.load = 0.8;
    w.restarts = first_three;
    w.largest = 0.8;
    w.by_term = true;
    for (const std::size_t balancers : {2, 3, 8, 350}) expect_kept_at(w, balancers, 1, "uneven", kLeastSent);
}

// Budgets of a few requests: small servers, held to little over a short time.
TEST(ColdFleetOfAnySize, BudgetsOfAFewRequests) {
    World w;
    w.cores = 1;
    w.load = 0.8;
    w.rules = [](Settings& s) {
        s.overload_multiple = 1.5, s.overload_window = 1000, s.slow_start_min_capacity = 0.05;
    };
    w.restarts = every_second;
    expect_kept_few_or_many(w, "steady");
    w.demand = [](Millis t) { return t < 21000 ? 1.0 : t < 24000 ? 0.0 : t < 26000 ? 2.5 : 0.5; };
    expect_kept_few_or_many(w, "burst");
}

// Nothing to spare: a server falls at just what it can do. The first figure to break where too much is sent.
TEST(ColdFleetOfAnySize, ServersFallAtJustWhatTheyCanDo) {
    World w;
    w.load = 0.9;
    w.rules = [](Settings& s) {
        s.overload_multiple = 1, s.overload_window = 1000, s.slow_start_min_capacity = 0.1;
    };
    w.restarts = first_three;
    expect_kept_few_or_many(w, "at capacity");
}

// The only slow machine starts: no warm one of its kind shows what they do, and the warm rest does several
// times as much. Then a burst.
World the_only_slow_server_starts() {
    World w;
    w.by_term = true;
    w.servers = 4;
    w.cores = 4;
    w.load = 0.96;
    w.skew = 0.1;
    w.slow_share = 0.25;
    w.slow_pace = 0.4;
    w.rules = [](Settings& s) { s.slow_start_min_capacity = 0.25, s.slow_start_window = 18500; };
    w.demand = [](Millis t) { return t < 15700 ? 1.0 : t < 16200 ? 0.1 : t < 18700 ? 3.9 : 0.7; };
    w.restarts_at = 12000;
    w.length = 25000;
    return w;
}

void expect_kept_of_every_kind(const World& world, const char* what) {
    for (const std::size_t balancers : {1, 3, 60, 175, 900})
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            expect_kept_at(world, balancers, seed, what, kLeastSent);
}

TEST(ColdFleetOfAnySize, TheOnlySlowServerStarts) {
    expect_kept_of_every_kind(the_only_slow_server_starts(), "slow");
}

// To new processes that kind has never been warm.
TEST(ColdFleetOfAnySize, TheOnlySlowServerStartsAndAllBalancersToo) {
    World w = the_only_slow_server_starts();
    w.balancers_restart_at = 12500;
    expect_kept_of_every_kind(w, "slow, new balancers");
}

// New processes every few seconds, each with buckets at a random depth.
TEST(ColdFleetOfAnySize, AllBalancersRestartAgainAndAgain) {
    World w;
    w.restarts = every_second;
    w.balancers_restart_at = 21500;
    w.balancer_restarts = 5;
    expect_kept_few_or_many(w, "restarts");
}

// Many small servers for each sidecar, each of which sees little traffic.
TEST(ColdFleetOfAnySize, ThinTrafficOfManySidecars) {
    World w;
    w.by_term = true;
    w.cores = 1;
    w.load = 0.3;
    w.restarts_at = 6000;
    w.length = 15000;
    w.restarts = [](std::size_t s) { return s % 4 == 0; };
    w.servers = 200;
    expect_kept_at(w, 900, 1, "200 servers", kLeastSent);
    w.servers = 640;  // 3,200 for 900 sidecars
    expect_kept_at(w, 180, 1, "640 servers", kLeastSent);
}

}  // namespace
}  // namespace mothring::test
