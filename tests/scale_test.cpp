// What a fleet of sixteen times the usual scan servers costs a sidecar: bytes for each listed server, and
// work for each change of the list, as slopes and ratios. Every allocation of this program is counted.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <limits>
#include <new>
#include <set>
#include <variant>

#include "net_rig.hpp"
#include "support/policy_harness.hpp"

namespace {

// Of the heap, through operator new: what is held now, the most that was, and how often it was asked.
struct Heap {
    std::atomic<std::size_t> held{0}, most{0}, asked{0};
};
Heap heap;

void* counted(std::size_t size) {
    void* const memory = std::malloc(std::max<std::size_t>(1, size));
    if (!memory) throw std::bad_alloc();
    const std::size_t now = heap.held += malloc_usable_size(memory);
    heap.most = std::max<std::size_t>(heap.most, now);
    ++heap.asked;
    return memory;
}

void give_back(void* memory) {
    if (!memory) return;
    heap.held -= malloc_usable_size(memory);
    std::free(memory);
}

}  // namespace

void* operator new(std::size_t size) { return counted(size); }
void* operator new[](std::size_t size) { return counted(size); }
void operator delete(void* memory) noexcept { give_back(memory); }
void operator delete[](void* memory) noexcept { give_back(memory); }
void operator delete(void* memory, std::size_t) noexcept { give_back(memory); }
void operator delete[](void* memory, std::size_t) noexcept { give_back(memory); }

namespace mothring::test {
namespace {

constexpr ServerId kUsual = 200, kMost = 3200;
// The terms: peak memory may grow by 4 MB for each thousand scan servers, in all.
constexpr double kBytesPerServer = 4000;
// The policy keeps a third of that; the rest is for names, addresses, connections and lists in passing.
constexpr double kPolicyBytesPerServer = kBytesPerServer / 3;
constexpr int kChanges = 100, kRequests = 100;
constexpr double kSameWork = 4;  // times as much, with what the machine does besides

double slope(std::size_t at_usual, std::size_t at_most) {
    return (static_cast<double>(at_most) - static_cast<double>(at_usual)) / (kMost - kUsual);
}

// A policy among 900 sidecars that has sent requests at large in a fleet of so many servers.
class LargeFleet {
public:
    explicit LargeFleet(ServerId count) : servers_(make_servers(count)), balancer_(settings(), 1) {
        give(Started{});
        give(EndpointList{ListKind::full, servers_});
        for (int i = 0; i < 2000; ++i) serve_one();
    }
    // Servers in turn begin to leave and come back, one at a time.
    void change(int count) {
        for (int i = 0; i < count; ++i) {
            EndpointInfo& server = servers_[changes_++ / 2 * kStride % servers_.size()];
            server.state =
                server.state == EndpointState::active ? EndpointState::draining : EndpointState::active;
            change_.servers.assign(1, server);
            give(change_);
        }
    }
    // One request after another, each so long after the last that what is known of the fleet is renewed.
    void serve(int count) {
        constexpr Millis kGap = 150;
        for (int i = 0; i < count; ++i) {
            now_ += kGap;
            serve_one();
        }
    }
    // The first `share` of the servers start anew, cold, all at once.
    void restart(double share) {
        EndpointList restarted{ListKind::incremental, {}};
        for (std::size_t i = 0; i < static_cast<std::size_t>(share * static_cast<double>(servers_.size()));
             ++i) {
            servers_[i].started_at = now_;
            restarted.servers.push_back(servers_[i]);
        }
        give(restarted);
    }
    // How many servers have had requests: as many connections.
    std::size_t asked_servers() const { return asked_.size(); }
    void forget_asked_servers() { asked_.clear(); }

private:
    static constexpr std::size_t kStride = 7;
    static Settings settings() {
        Settings settings = make_settings();
        settings.fleet_size = 900;
        return settings;
    }
    void give(const Event& event) {
        actions_.clear();
        balancer_.handle(now_, event, actions_);
        for (const Action& action : actions_)
            if (const SendAttempt* send = std::get_if<SendAttempt>(&action)) asked_.insert(send->server);
    }
    void serve_one() {
        constexpr Millis kAnswer = 20;
        give(RequestArrived{++request_, 0, 1000});
        now_ += kAnswer;
        give(AttemptEnded{request_, 0, Outcome::completed, kAnswer, true});
    }

    std::vector<EndpointInfo> servers_;
    Balancer balancer_;
    std::vector<Action> actions_;
    EndpointList change_{ListKind::incremental, {}};
    std::size_t changes_ = 0;
    Millis now_ = 1e6;
    RequestId request_ = 0;
    std::set<ServerId> asked_;
};

std::size_t held_by_policy(ServerId count) {
    const std::size_t before = heap.held;
    const LargeFleet fleet(count);
    return heap.held - before;
}

TEST(Scale, PolicyHoldsLittleForEachListedServer) {
    const double bytes = slope(held_by_policy(kUsual), held_by_policy(kMost));
    RecordProperty("bytes_per_server", std::to_string(bytes));
    EXPECT_LT(bytes, kPolicyBytesPerServer);
}

double processor_time() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// How many times as long the work takes the thread with the most servers as with the usual number.
template <class Work>
double times_as_long(Work work) {
    constexpr int kRounds = 20;  // the least of them: others use the machine too
    LargeFleet usual(kUsual), large(kMost);
    const auto time_of = [&](LargeFleet& fleet) {
        const double before = processor_time();
        work(fleet);
        return processor_time() - before;
    };
    double least_usual = std::numeric_limits<double>::infinity(), least_large = least_usual;
    for (int i = 0; i < kRounds; ++i) {
        least_usual = std::min(least_usual, time_of(usual));
        least_large = std::min(least_large, time_of(large));
    }
    return least_large / least_usual;
}

// Changes come by the hundred in a large fleet: each may cost what it changes, not what is listed.
TEST(Scale, AChangeOfOneServerCostsTheSameInALargeFleet) {
    const double ratio = times_as_long([](LargeFleet& fleet) { fleet.change(kChanges); });
    RecordProperty("ratio", std::to_string(ratio));
    EXPECT_LT(ratio, kSameWork);
}

// Passes over all that are listed, many times a second, would cost more than the requests themselves.
TEST(Scale, ARequestCostsTheSameInALargeFleet) {
    const double ratio = times_as_long([](LargeFleet& fleet) { fleet.serve(kRequests); });
    RecordProperty("ratio", std::to_string(ratio));
    EXPECT_LT(ratio, kSameWork);
}

// The terms: connections made to scan servers may grow to 2.5 times as many and 40, on the same day.
TEST(Scale, ARestartOfHalfOfALargeFleetMakesFewConnections) {
    constexpr double kTimes = 2.5, kMore = 40, kHalf = 0.5;
    const auto asked_in = [](ServerId count) {
        LargeFleet fleet(count);
        fleet.forget_asked_servers();
        fleet.restart(kHalf);
        fleet.serve(4 * kRequests);
        return static_cast<double>(fleet.asked_servers());
    };
    const double usual = asked_in(kUsual), large = asked_in(kMost);
    RecordProperty("usual", std::to_string(usual));
    RecordProperty("large", std::to_string(large));
    EXPECT_LE(large, kTimes * usual + kMore);
}

TEST(Scale, AChangeOfOneServerAllocatesNoMoreInALargeFleet) {
    LargeFleet usual(kUsual), large(kMost);
    const auto asked_by = [](LargeFleet& fleet) {
        fleet.change(kChanges);  // what grows once has grown
        const std::size_t before = heap.asked;
        fleet.change(kChanges);
        return heap.asked - before;
    };
    EXPECT_LE(asked_by(large), asked_by(usual));
}

// A change names who has started anew: nothing of what was decided on its earlier life is left.
TEST(Scale, AServerOutOfThePoolThatStartsAnewIsOneOfManyAgain) {
    Settings settings = make_settings();
    settings.slow_start_window = 0;
    PolicyHarness harness(settings);
    std::vector<EndpointInfo> servers = make_servers(6);
    harness.deliver_list(ListKind::full, servers);
    for (int i = 0; i < 300 && harness.ejections == 0; ++i)  // the windows fill first
        for (const RequestId id : harness.start_requests(3))
            while (harness.is_in_flight(id))
                harness.end_attempt(
                    id, i > 100 && harness.server_of(id) == 1 ? Outcome::failed : Outcome::completed, 10);
    ASSERT_EQ(harness.ejections, 1);
    harness.advance(20000);  // longer than it stays out for
    servers[0].started_at = harness.now;
    harness.deliver_list(ListKind::incremental, {servers[0]});
    int there = 0;
    for (int i = 0; i < 10; ++i) {
        const std::vector<RequestId> ids =
            harness.start_requests(6);  // so many at once that each server has its part
        for (const RequestId id : ids) there += harness.server_of(id) == 1;
        harness.complete_in_flight(ids, 10);
    }
    EXPECT_GT(there, 0);
    EXPECT_LT(there, 30) << "as if each were its trial";
}

}  // namespace
}  // namespace mothring::test

namespace mothring::node::test {
namespace {

using mothring::test::kBytesPerServer, mothring::test::kChanges, mothring::test::kMost,
    mothring::test::kSameWork, mothring::test::kUsual, mothring::test::slope;

std::size_t descriptors() {
    const std::filesystem::directory_iterator open("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

// A sidecar between one agent and one server that is listed so many times.
struct ScaleOverSockets : NetRig {
    struct Cost {
        std::size_t held = 0, most = 0, grown = 0, descriptors = 0;
    };
    // Starts it, tells it a hundred changes and then the whole list anew.
    Cost cost_of(std::size_t count) {
        std::vector<ListedServer> servers;
        for (std::size_t i = 0; i < count; ++i)
            servers.push_back({"scan-server-" + std::to_string(i), a.address()});
        const std::string whole = list_json(kVersion + kChanges + 1, true, servers);
        sidecar.reset();
        until([&] { return agent.ended_count() == agent.connections.size(); });
        const std::size_t descriptors_before = descriptors(), before = heap.held;
        heap.most = before;
        start(servers);
        until([&] { return is_watched_from(std::to_string(kVersion)); });
        Cost cost;
        cost.held = heap.held - before;
        for (int i = 1; i <= kChanges; ++i) {
            const ListedServer& one = servers[static_cast<std::size_t>(i / 2)];
            send_list(list_json(kVersion + i, false, {{one.id, one.address, i % 2 ? "Draining" : "Ready"}}));
            until([&] { return is_watched_from(std::to_string(kVersion + i)); });
        }
        cost.grown = std::max<std::size_t>(heap.held, before + cost.held) - before - cost.held;
        send_list(whole);
        until([&] { return is_watched_from(std::to_string(kVersion + kChanges + 1)); });
        cost.most = heap.most - before;
        cost.descriptors = descriptors() - descriptors_before;
        return cost;
    }
    // The processor time of a change over sockets, the least of a hundred, with so many listed.
    double time_of_change(std::size_t count) {
        std::vector<ListedServer> servers;
        for (std::size_t i = 0; i < count; ++i)
            servers.push_back({"scan-server-" + std::to_string(i), a.address()});
        sidecar.reset();
        until([&] { return agent.ended_count() == agent.connections.size(); });
        start(servers);
        until([&] { return is_watched_from(std::to_string(kVersion)); });
        double least = std::numeric_limits<double>::infinity();
        for (int i = 1; i <= kChanges; ++i) {
            const ListedServer& one = servers[static_cast<std::size_t>(i / 2)];
            const double before = mothring::test::processor_time();
            send_list(list_json(kVersion + i, false, {{one.id, one.address, i % 2 ? "Draining" : "Ready"}}));
            until([&] { return is_watched_from(std::to_string(kVersion + i)); });
            least = std::min(least, mothring::test::processor_time() - before);
        }
        return least;
    }
    static constexpr int kVersion = 41;  // of the list that NetRig starts with
};

TEST_F(ScaleOverSockets, ALongListCostsLittleMemoryAndNoDescriptors) {
    cost_of(kUsual);  // what a process opens once, as its log, is open by then
    const Cost usual = cost_of(kUsual), large = cost_of(kMost);
    RecordProperty("held_per_server", std::to_string(slope(usual.held, large.held)));
    RecordProperty("most_per_server", std::to_string(slope(usual.most, large.most)));
    RecordProperty("grown_usual", std::to_string(usual.grown));
    RecordProperty("grown_large", std::to_string(large.grown));
    RecordProperty("descriptors", std::to_string(large.descriptors));
    EXPECT_LT(slope(usual.most, large.most), kBytesPerServer);
    EXPECT_LT(slope(usual.grown, large.grown), kBytesPerServer / kChanges) << "changes hold nothing";
    EXPECT_EQ(usual.descriptors, large.descriptors);
}

TEST_F(ScaleOverSockets, AChangeOfOneServerCostsTheSameInALargeFleet) {
    const double usual = time_of_change(kUsual), large = time_of_change(kMost);
    RecordProperty("ratio", std::to_string(large / usual));
    EXPECT_LT(large, kSameWork * usual);
}

}  // namespace
}  // namespace mothring::node::test
