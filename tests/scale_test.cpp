/// @file
/// The cost of a large fleet to a sidecar: its memory for each listed server, and the processor time of
/// requests and of changes of the endpoint list. Each is compared between a usual fleet and one with sixteen
/// times as many scan servers. And the memory that a crowd of clients takes. This program counts all of its
/// allocations.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <limits>
#include <new>
#include <ostream>
#include <set>
#include <variant>

#include "stream_rig.hpp"
#include "support/policy_harness.hpp"

namespace {

// The use of the heap through operator new: the bytes allocated now, the highest value so far, and the number
// of allocations.
struct Heap {
    std::atomic<std::size_t> bytes{0}, peak_bytes{0}, allocations{0};
};
Heap heap;

void* allocate_counted(std::size_t size) {
    void* const memory = std::malloc(std::max<std::size_t>(1, size));
    if (!memory) throw std::bad_alloc();
    const std::size_t bytes = heap.bytes += malloc_usable_size(memory);
    heap.peak_bytes = std::max<std::size_t>(heap.peak_bytes, bytes);
    ++heap.allocations;
    return memory;
}

void free_counted(void* memory) {
    if (!memory) return;
    heap.bytes -= malloc_usable_size(memory);
    std::free(memory);
}

}  // namespace

void* operator new(std::size_t size) { return allocate_counted(size); }
void* operator new[](std::size_t size) { return allocate_counted(size); }
void operator delete(void* memory) noexcept { free_counted(memory); }
void operator delete[](void* memory) noexcept { free_counted(memory); }
void operator delete(void* memory, std::size_t) noexcept { free_counted(memory); }
void operator delete[](void* memory, std::size_t) noexcept { free_counted(memory); }

namespace mothring::test {
namespace {

// The numbers of servers in the two fleets.
constexpr ServerId kUsualSize = 200, kLargeSize = 3200;
// The platform requires that a sidecar's peak memory grows by at most 4 MB for each thousand scan servers.
constexpr double kMaxBytesPerServer = 4000;
// The policy may use a third of that. The rest is for names, addresses, connections and received lists.
constexpr double kMaxPolicyBytesPerServer = kMaxBytesPerServer / 3;
constexpr int kChanges = 100, kRequests = 100;
// Equal work may take this many times as long in the large fleet, as other processes use the machine too.
constexpr double kMaxTimeRatio = 4;

// Returns the growth of a figure for each additional server.
double slope(std::size_t at_usual_size, std::size_t at_large_size) {
    return (static_cast<double>(at_large_size) - static_cast<double>(at_usual_size)) /
           (kLargeSize - kUsualSize);
}

// The balancer of one of 900 sidecars, which has sent 2,000 requests to a fleet of `count` servers.
class BalancerInFleet {
public:
    explicit BalancerInFleet(ServerId count) : servers_(make_servers(count)), balancer_(settings(), 1) {
        deliver(Started{});
        deliver(EndpointList{ListKind::full, servers_});
        for (int i = 0; i < 2000; ++i) serve_one();
    }
    // Delivers `count` changes of one server each. The first change of a server makes it drain, the second
    // makes it active again.
    void change(int count) {
        for (int i = 0; i < count; ++i) {
            EndpointInfo& server = servers_[changes_++ / 2 * kStride % servers_.size()];
            server.state =
                server.state == EndpointState::active ? EndpointState::draining : EndpointState::active;
            change_.servers.assign(1, server);
            deliver(change_);
        }
    }
    // Serves one request after another. The gap between requests is longer than the interval of the capacity
    // survey, so that each request refreshes the survey.
    void serve(int count) {
        constexpr Millis kGap = 150;
        for (int i = 0; i < count; ++i) {
            now_ += kGap;
            serve_one();
        }
    }
    // Restarts the first `share` of the servers at the same time.
    void restart(double share) {
        EndpointList restarted{ListKind::incremental, {}};
        for (std::size_t i = 0; i < static_cast<std::size_t>(share * static_cast<double>(servers_.size()));
             ++i) {
            servers_[i].started_at = now_;
            restarted.servers.push_back(servers_[i]);
        }
        deliver(restarted);
    }
    // Returns the number of servers that have been sent requests, which is the number of connections needed.
    std::size_t used_servers() const { return used_.size(); }
    void clear_used_servers() { used_.clear(); }

private:
    static constexpr std::size_t kStride = 7;
    static Settings settings() {
        Settings settings = make_settings();
        settings.fleet_size = 900;
        return settings;
    }
    void deliver(const Event& event) {
        actions_.clear();
        balancer_.handle(now_, event, actions_);
        for (const Action& action : actions_)
            if (const SendAttempt* send = std::get_if<SendAttempt>(&action)) used_.insert(send->server);
    }
    void serve_one() {
        constexpr Millis kLatency = 20;
        deliver(RequestArrived{++request_, 0, 1000});
        now_ += kLatency;
        deliver(AttemptEnded{request_, 0, Outcome::completed, kLatency, true});
    }

    std::vector<EndpointInfo> servers_;
    Balancer balancer_;
    std::vector<Action> actions_;
    EndpointList change_{ListKind::incremental, {}};
    std::size_t changes_ = 0;
    Millis now_ = 1e6;
    RequestId request_ = 0;
    std::set<ServerId> used_;
};

std::size_t memory_of_policy(ServerId count) {
    const std::size_t before = heap.bytes;
    const BalancerInFleet fleet(count);
    return heap.bytes - before;
}

TEST(Scale, PolicyUsesLittleMemoryPerListedServer) {
    const double bytes = slope(memory_of_policy(kUsualSize), memory_of_policy(kLargeSize));
    RecordProperty("bytes_per_server", std::to_string(bytes));
    EXPECT_LT(bytes, kMaxPolicyBytesPerServer);
}

double processor_time() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Returns the processor time of this thread for `work` in the large fleet, divided by that in the usual
// fleet.
template <class Work>
double time_ratio(Work work) {
    constexpr int kRounds = 20;  // the fastest round counts, as other processes use the machine too
    BalancerInFleet usual(kUsualSize), large(kLargeSize);
    const auto time_of = [&](BalancerInFleet& fleet) {
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

// A large fleet has hundreds of changes. The cost of each must depend on the servers that change and not on
// the number of listed servers.
TEST(Scale, AChangeOfOneServerCostsTheSameInALargeFleet) {
    const double ratio = time_ratio([](BalancerInFleet& fleet) { fleet.change(kChanges); });
    RecordProperty("ratio", std::to_string(ratio));
    EXPECT_LT(ratio, kMaxTimeRatio);
}

// Passes over all listed servers many times a second would cost more than the requests themselves.
TEST(Scale, ARequestCostsTheSameInALargeFleet) {
    const double ratio = time_ratio([](BalancerInFleet& fleet) { fleet.serve(kRequests); });
    RecordProperty("ratio", std::to_string(ratio));
    EXPECT_LT(ratio, kMaxTimeRatio);
}

// The platform requires that, with the same traffic, a large fleet takes at most 2.5 times as many
// connections to scan servers as the usual one, plus 40.
TEST(Scale, ARestartOfHalfOfALargeFleetMakesFewConnections) {
    constexpr double kMaxRatio = 2.5, kMaxExtra = 40, kHalf = 0.5;
    const auto used_after_restart = [](ServerId count) {
        BalancerInFleet fleet(count);
        fleet.clear_used_servers();
        fleet.restart(kHalf);
        fleet.serve(4 * kRequests);
        return static_cast<double>(fleet.used_servers());
    };
    const double usual = used_after_restart(kUsualSize), large = used_after_restart(kLargeSize);
    RecordProperty("usual", std::to_string(usual));
    RecordProperty("large", std::to_string(large));
    EXPECT_LE(large, kMaxRatio * usual + kMaxExtra);
}

TEST(Scale, AChangeOfOneServerAllocatesNoMoreInALargeFleet) {
    BalancerInFleet usual(kUsualSize), large(kLargeSize);
    const auto allocations_by = [](BalancerInFleet& fleet) {
        fleet.change(kChanges);  // lets buffers and indexes grow to their final sizes
        const std::size_t before = heap.allocations;
        fleet.change(kChanges);
        return heap.allocations - before;
    };
    EXPECT_LE(allocations_by(large), allocations_by(usual));
}

// An incremental list reports that an ejected server has restarted. The ejection applied to the earlier
// process, so the new one must not be limited to half-open trials.
TEST(Scale, AnEjectedServerThatRestartsReceivesItsShareAgain) {
    Settings settings = make_settings();
    settings.slow_start_window = 0;
    PolicyHarness harness(settings);
    std::vector<EndpointInfo> servers = make_servers(6);
    harness.deliver_list(ListKind::full, servers);
    for (int i = 0; i < 300 && harness.ejections == 0; ++i)  // the first 100 rounds fill the success windows
        for (const RequestId id : harness.start_requests(3))
            while (harness.is_in_flight(id))
                harness.end_attempt(
                    id, i > 100 && harness.server_of(id) == 1 ? Outcome::failed : Outcome::completed, 10);
    ASSERT_EQ(harness.ejections, 1);
    harness.advance(20000);  // longer than its ejection time
    servers[0].started_at = harness.now;
    harness.deliver_list(ListKind::incremental, {servers[0]});
    int sent_to_restarted = 0;
    for (int i = 0; i < 10; ++i) {
        const std::vector<RequestId> ids =
            harness.start_requests(6);  // enough concurrent requests for every server to receive some
        for (const RequestId id : ids) sent_to_restarted += harness.server_of(id) == 1;
        harness.complete_in_flight(ids, 10);
    }
    EXPECT_GT(sent_to_restarted, 0);
    EXPECT_LT(sent_to_restarted, 30) << "more than its share, as if each request were a trial";
}

}  // namespace
}  // namespace mothring::test

namespace mothring::node::test {
namespace {

using mothring::test::kMaxBytesPerServer, mothring::test::kChanges, mothring::test::kLargeSize,
    mothring::test::kMaxTimeRatio, mothring::test::kUsualSize, mothring::test::slope;

std::size_t count_descriptors() {
    const std::filesystem::directory_iterator open("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

// A sidecar with a discovery service and one scripted server, whose address is listed under many names.
struct ScaleOverSockets : NetRig {
    // The additional heap bytes after the start, the highest number of additional bytes, the growth over all
    // changes, and the additional descriptors.
    struct Cost {
        std::size_t bytes = 0, peak_bytes = 0, growth = 0, descriptors = 0;
    };
    // Starts a sidecar with `count` listed servers, sends it kChanges changes and then a full list.
    Cost cost_of(std::size_t count) {
        std::vector<ListedServer> servers;
        for (std::size_t i = 0; i < count; ++i)
            servers.push_back({"scan-server-" + std::to_string(i), a.address()});
        const std::string full_list = list_json(kVersion + kChanges + 1, true, servers);
        sidecar.reset();
        until([&] { return agent.ended_count() == agent.connections.size(); });
        const std::size_t descriptors_before = count_descriptors(), before = heap.bytes;
        heap.peak_bytes = before;
        start(servers);
        until([&] { return is_watched_from(std::to_string(kVersion)); });
        Cost cost;
        cost.bytes = heap.bytes - before;
        for (int i = 1; i <= kChanges; ++i) {
            const ListedServer& changed = servers[static_cast<std::size_t>(i / 2)];
            send_list(list_json(kVersion + i, false,
                                {{changed.id, changed.address, i % 2 ? "Draining" : "Ready"}}));
            until([&] { return is_watched_from(std::to_string(kVersion + i)); });
        }
        cost.growth = std::max<std::size_t>(heap.bytes, before + cost.bytes) - before - cost.bytes;
        send_list(full_list);
        until([&] { return is_watched_from(std::to_string(kVersion + kChanges + 1)); });
        cost.peak_bytes = heap.peak_bytes - before;
        cost.descriptors = count_descriptors() - descriptors_before;
        return cost;
    }
    // Returns the lowest processor time of kChanges changes that a sidecar with `count` listed servers
    // receives.
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
            const ListedServer& changed = servers[static_cast<std::size_t>(i / 2)];
            const double before = mothring::test::processor_time();
            send_list(list_json(kVersion + i, false,
                                {{changed.id, changed.address, i % 2 ? "Draining" : "Ready"}}));
            until([&] { return is_watched_from(std::to_string(kVersion + i)); });
            least = std::min(least, mothring::test::processor_time() - before);
        }
        return least;
    }
    static constexpr int kVersion = 41;  // the version of the list with which NetRig starts a sidecar
};

TEST_F(ScaleOverSockets, ALongListCostsLittleMemoryAndNoDescriptors) {
    cost_of(kUsualSize);  // opens what a process opens only once, such as its log
    const Cost usual = cost_of(kUsualSize), large = cost_of(kLargeSize);
    RecordProperty("held_per_server", std::to_string(slope(usual.bytes, large.bytes)));
    RecordProperty("most_per_server", std::to_string(slope(usual.peak_bytes, large.peak_bytes)));
    RecordProperty("grown_usual", std::to_string(usual.growth));
    RecordProperty("grown_large", std::to_string(large.growth));
    RecordProperty("descriptors", std::to_string(large.descriptors));
    EXPECT_LT(slope(usual.peak_bytes, large.peak_bytes), kMaxBytesPerServer);
    EXPECT_LT(slope(usual.growth, large.growth), kMaxBytesPerServer / kChanges) << "changes retain no memory";
    EXPECT_EQ(usual.descriptors, large.descriptors);
}

TEST_F(ScaleOverSockets, AChangeOfOneServerCostsTheSameInALargeFleet) {
    const double usual = time_of_change(kUsualSize), large = time_of_change(kLargeSize);
    RecordProperty("ratio", std::to_string(large / usual));
    EXPECT_LT(large, kMaxTimeRatio * usual);
}

// What each client of a crowd sends, and what the server answers if the request reaches it.
struct Crowd {
    std::string name;
    std::string bytes;
    std::string response{};
    friend std::ostream& operator<<(std::ostream& out, const Crowd& crowd) { return out << crowd.name; }
};

std::string times(const std::string& text, int count) {
    std::string all;
    for (int i = 0; i < count; ++i) all += text;
    return all;
}

std::string with_fields(const std::string& head, const std::string& fields) {
    return replace_first(head, "Host: app.svc\r\n", "Host: app.svc\r\n" + fields);
}

const std::vector<Crowd> crowds = {
    {"HeadsOfShortFields", with_fields(request("listen", "id", 20000), times("a:b\r\n", 3100))},
    {"IncompleteHeads",
     with_fields(request("listen", "id", 20000), times("long: 0123456789\r\n", 880)).substr(0, 15000)},
    {"HalfOfALongBody",
     replace_first(request("deposit", "id", 20000), "Content-Length: 0", "Content-Length: 1000000") +
         std::string(200000, 'x')},
    {"LongResponsesUnread", request("listen", "id", 20000),
     "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(400000, 'x')},
    {"ResponseHeadsOfShortFields", request("listen", "id", 20000),
     "HTTP/1.1 200 OK\r\n" + times("a:b\r\n", 3100) + "Content-Length: 1000000\r\n\r\nfirst"},
};

// A crowd of clients at a sidecar with little memory.
struct CrowdMemory : Stream, testing::WithParamInterface<Crowd> {
    static constexpr std::size_t kClients = 200, kMegabytes = 32;
    std::list<RawPeer> crowd;
    std::list<std::string> bytes_by_client;  // each request has an id of its own
    std::list<std::size_t> sent_by_client, sent_by_server;

    // Writes as much as the socket accepts, without a copy of its own as RawPeer::out would be.
    static void write_rest(RawPeer& peer, const std::string& bytes, std::size_t& sent) {
        error_code error;
        while (sent < bytes.size() && !error)
            sent += peer.socket.write_some(asio::buffer(bytes) + sent, error);
    }
    void connect_all() {
        for (std::size_t i = 0; i < kClients; ++i) {
            crowd.emplace_back(io, sidecar->address());
            sent_by_client.push_back(0);
            const std::string id = "Request-Id: id-" + std::to_string(i);
            const std::string& bytes = GetParam().bytes;
            const bool has_id = bytes.find("Request-Id: id") != std::string::npos;
            bytes_by_client.push_back(has_id ? replace_first(bytes, "Request-Id: id", id) : bytes);
        }
    }
    void exchange() {
        auto sent = sent_by_client.begin();
        auto bytes = bytes_by_client.begin();
        for (RawPeer& client : crowd) write_rest(client, *bytes++, *sent++);
        while (sent_by_server.size() < servers.size()) sent_by_server.push_back(0);
        sent = sent_by_server.begin();
        for (RawPeer& server : servers) write_rest(server, GetParam().response, *sent++);
    }
};

// Guards against a process that many clients together bring over its memory limit, so that it is killed.
TEST_P(CrowdMemory, StaysWithinHalfOfTheLimit) {
    constexpr std::size_t kLimit = kMegabytes * 1024 * 1024;
    const auto settle_time = std::chrono::milliseconds(1000);
    start_raw(std::to_string(kMegabytes));
    connect_all();
    const std::size_t before = heap.bytes;
    heap.peak_bytes = before;
    const auto settled = std::chrono::steady_clock::now() + settle_time;
    until([&] { return exchange(), std::chrono::steady_clock::now() > settled; });
    const std::size_t peak = heap.peak_bytes;
    RecordProperty("peak_bytes", std::to_string(peak - before));
    EXPECT_LT(peak - before, kLimit / 2);
    EXPECT_EQ(send_and_wait("GET /_health HTTP/1.1\r\n\r\n").result_int(), 200u);
    crowd.clear();
    until([&] {
        return sidecar->request_count() == 0 && sidecar->head_bytes() == 0 && sidecar->buffered_bytes() == 0;
    });
}

INSTANTIATE_TEST_SUITE_P(Each, CrowdMemory, testing::ValuesIn(crowds),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace mothring::node::test
