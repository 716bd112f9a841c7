// Measures the CPU time of the decisions for one request, which arrives, is sent to a server and completes in
// simulated time, with 8, 200 and 3,200 servers listed.
#include <benchmark/benchmark.h>

#include <vector>

#include "mothring/balancer.hpp"

namespace mothring {
namespace {

constexpr ServerId kZones = 3, kKinds = 2;
constexpr Millis kGap = 10;        // between requests
constexpr Millis kService = 20;    // duration of an attempt
constexpr Millis kTimeout = 1000;  // time-out of a request
constexpr int kWarmUpRequests = 1000;

Settings make_settings() {
    RequestClass reads;
    reads.idempotency = Idempotency::always;
    reads.latency_objective = 200;
    RequestClass writes;
    writes.idempotency = Idempotency::never;
    writes.latency_objective = 400;
    writes.priority_weight = 2;
    Settings settings;
    settings.classes = {reads, writes};
    settings.fleet_size = 350;
    settings.slow_start_window = 10000;
    settings.slow_start_min_capacity = 0.2;
    return settings;
}

class Client {
public:
    explicit Client(ServerId servers) : balancer_(make_settings(), 1) {
        EndpointList list;
        for (ServerId id = 1; id <= servers; ++id)
            list.servers.push_back({id, id % kZones, 0, EndpointState::active, 0, id % kKinds, id});
        give(Started{});
        give(list);
        for (int i = 0; i < kWarmUpRequests; ++i) request();
    }

    void request() {
        const RequestId id = ++last_id_;
        now_ += kGap;
        give(RequestArrived{id, static_cast<std::uint32_t>(id % 2), kTimeout});
        now_ += kService;
        give(AttemptEnded{id, 0, Outcome::completed, kService, true});
        // Fires the expired timers.
        while (!timers_.empty() && timers_.front().at <= now_) {
            const TimerToken token = timers_.front().token;
            timers_.erase(timers_.begin());
            give(TimerFired{token});
        }
    }

private:
    void give(const Event& event) {
        actions_.clear();
        balancer_.handle(now_, event, actions_);
        for (const Action& action : actions_) {
            if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.push_back(*timer);
        }
    }

    Balancer balancer_;
    Millis now_ = 100000;
    RequestId last_id_ = 0;
    std::vector<SetTimer> timers_;  // ordered by time, as all requests have the same time-out
    std::vector<Action> actions_;
};

void one_request(benchmark::State& state) {
    Client client(static_cast<ServerId>(state.range(0)));
    for (const auto& iteration : state) {
        static_cast<void>(iteration);
        client.request();
    }
}
BENCHMARK(one_request)->Arg(8)->Arg(200)->Arg(3200);

}  // namespace
}  // namespace mothring

BENCHMARK_MAIN();
