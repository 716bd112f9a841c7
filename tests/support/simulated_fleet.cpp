#include "simulated_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace mothring::test {

namespace {

/// The balancers' clock at the start of the simulation.
constexpr Millis kEpoch = 1e6;
/// The mean time for which one core of a warm, fast server works on a request.
constexpr Millis kServiceTime = 61;
/// The part of a response's latency that is spent outside the server.
constexpr Millis kNetworkTime = 145;
constexpr Millis kDeadline = 2500;
constexpr Millis kLatencyObjective = 750;
/// An upper bound of the demand in any scenario, as a multiple of the load.
constexpr double kPeakDemand = 4;
/// Service times vary by a log-normally distributed factor with a mean of about 1.
constexpr double kServiceTimeLogMean = -0.08;
constexpr double kServiceTimeLogDeviation = 0.4;

constexpr std::uint32_t kMaxAttempts = 4;
constexpr double kSlowStartMinCapacity = 0.16;
constexpr Millis kSlowStartWindow = 23000;
constexpr double kOverloadMultiple = 4;
constexpr Millis kOverloadWindow = 3000;

/// The allowance of a server that is expected to be sent fewer requests than this in a window may include
/// more standard deviations.
constexpr double kFewRequests = 30;

Settings settings_of(const FleetScenario& scenario) {
    RequestClass request_class;
    request_class.idempotency = Idempotency::always;
    request_class.latency_objective = kLatencyObjective;
    Settings settings;
    settings.classes = {request_class};
    settings.max_attempts = kMaxAttempts;
    settings.fleet_size = static_cast<std::uint32_t>(scenario.balancers);
    settings.slow_start_min_capacity = kSlowStartMinCapacity;
    settings.slow_start_window = kSlowStartWindow;
    settings.overload_multiple = kOverloadMultiple;
    settings.overload_window = kOverloadWindow;
    scenario.adjust_settings(settings);
    return settings;
}

}  // namespace

SimulatedFleet::SimulatedFleet(FleetScenario scenario)
    : scenario_(std::move(scenario)), settings_(settings_of(scenario_)), random_(scenario_.seed) {
    add_servers();
    add_sidecars();
    for (std::size_t index = 0; index < scenario_.balancers; ++index) schedule_arrival(index, 0);
    schedule_restarts();
    run();
}

void SimulatedFleet::add_servers() {
    const double slow_servers = scenario_.slow_share * static_cast<double>(scenario_.servers);
    for (std::size_t index = 0; index < scenario_.servers; ++index) {
        Server server;
        server.is_slow = static_cast<double>(index) + 0.5 < slow_servers;
        servers_.push_back(server);
        capacity_ += scenario_.cores / service_time(server, 1);
    }
}

void SimulatedFleet::add_sidecars() {
    sidecars_.resize(scenario_.balancers);
    std::lognormal_distribution<double> share(0, scenario_.skew);
    for (std::size_t index = 0; index < scenario_.balancers; ++index) {
        shares_.push_back(share(random_));
        sum_of_shares_ += shares_.back();
        start_balancer(index);
    }
    if (scenario_.largest_share <= 0) return;
    sum_of_shares_ -= shares_[0];
    shares_[0] = sum_of_shares_ * scenario_.largest_share / (1 - scenario_.largest_share);
    sum_of_shares_ += shares_[0];
}

void SimulatedFleet::schedule_restarts() {
    schedule(scenario_.restarts_at, [this] { restart_servers(); });
    if (scenario_.balancers_restart_at <= 0) return;
    for (int i = 0; i < scenario_.balancer_restarts; ++i)
        schedule(scenario_.balancers_restart_at + i * settings_.overload_window, [this] {
            for (std::size_t index = 0; index < sidecars_.size(); ++index) start_balancer(index);
        });
}

void SimulatedFleet::restart_servers() {
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        if (!scenario_.restarts(index)) continue;
        servers_[index].started_at = now_;
        servers_[index].queue.clear();
    }
    for (std::size_t index = 0; index < sidecars_.size(); ++index) deliver(index, list());
}

void SimulatedFleet::run() {
    while (!tasks_.empty() && tasks_.top().at < scenario_.length) {
        const Task next = tasks_.top();
        tasks_.pop();
        now_ = next.at;
        next.run();
    }
}

void SimulatedFleet::schedule(Millis at, std::function<void()> task) {
    tasks_.push({at, next_order_++, std::move(task)});
}

void SimulatedFleet::start_balancer(std::size_t index) {
    Sidecar& sidecar = sidecars_[index];
    sidecar.balancer = std::make_unique<Balancer>(settings_, random_());
    ++sidecar.incarnation;
    sidecar.attempts.clear();
    deliver(index, Started{});
    deliver(index, list());
}

void SimulatedFleet::schedule_arrival(std::size_t index, Millis after) {
    // The demand may change at any time. Arrivals are therefore drawn for the highest demand, and each is
    // dropped with a probability that leaves the current demand.
    const double rate = scenario_.load * capacity_ * shares_[index] / sum_of_shares_;
    const Millis at = after + std::exponential_distribution<double>(rate * kPeakDemand)(random_);
    schedule(at, [this, index] {
        if (std::uniform_real_distribution<double>(0, kPeakDemand)(random_) < scenario_.demand(now_)) {
            if (now_ > scenario_.restarts_at) ++arrived_;
            deliver(index, RequestArrived{next_id_++, 0, kDeadline});
        }
        schedule_arrival(index, now_);
    });
}

void SimulatedFleet::deliver(std::size_t index, const Event& event) {
    std::vector<Action> actions;
    sidecars_[index].balancer->handle(kEpoch + now_, event, actions);
    for (const Action& action : actions) execute(index, action);
}

void SimulatedFleet::execute(std::size_t index, const Action& action) {
    Sidecar& sidecar = sidecars_[index];
    const std::uint64_t incarnation = sidecar.incarnation;
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
        const std::uint32_t attempt = sidecar.attempts[send->id]++;
        enqueue(send->server - 1, {index, incarnation, send->id, attempt, now_});
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        schedule(std::max(now_, timer->at - kEpoch), [this, index, incarnation, token = timer->token] {
            if (sidecars_[index].incarnation == incarnation) deliver(index, TimerFired{token});
        });
    }
}

void SimulatedFleet::enqueue(std::size_t server, const Job& job) {
    Server& target = servers_[server];
    if (capacity_share(target, now_) < 1) target.sent_at.push_back(now_);
    target.queue.push_back(job);
    serve_queue(server);
}

void SimulatedFleet::serve_queue(std::size_t index) {
    Server& server = servers_[index];
    while (server.busy_cores < scenario_.cores && !server.queue.empty()) {
        const Job job = server.queue.front();
        server.queue.pop_front();
        ++server.busy_cores;
        std::lognormal_distribution<double> variation(kServiceTimeLogMean, kServiceTimeLogDeviation);
        const Millis duration = variation(random_) * service_time(server, capacity_share(server, now_));
        schedule(now_ + duration, [this, index] {
            --servers_[index].busy_cores;
            serve_queue(index);
        });
        schedule(now_ + duration + kNetworkTime, [this, job] { complete(job); });
    }
}

void SimulatedFleet::complete(const Job& job) {
    if (sidecars_[job.balancer].incarnation != job.incarnation) return;
    const bool is_late = now_ - job.sent_at > kDeadline;
    if (!is_late && job.sent_at > scenario_.restarts_at) ++completed_;
    const Outcome outcome = is_late ? Outcome::timed_out : Outcome::completed;
    deliver(job.balancer, AttemptEnded{job.id, job.attempt, outcome, now_ - job.sent_at, !is_late});
}

EndpointList SimulatedFleet::list() const {
    EndpointList list{ListKind::full, {}};
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        const Server& server = servers_[index];
        const Millis started_at = server.started_at > 0 ? kEpoch + server.started_at : 0;
        const KindId kind = server.is_slow ? 1 : 0;
        list.servers.push_back(
            {static_cast<ServerId>(index + 1), 0, 0, EndpointState::active, started_at, kind});
    }
    return list;
}

double SimulatedFleet::capacity_share(const Server& server, Millis now) const {
    if (server.started_at == 0) return 1;
    const double at_start = settings_.slow_start_min_capacity;
    return std::min(1.0, at_start + (1 - at_start) * (now - server.started_at) / settings_.slow_start_window);
}

Millis SimulatedFleet::service_time(const Server& server, double capacity) const {
    return kServiceTime / (server.is_slow ? scenario_.slow_speed : 1) / capacity;
}

double SimulatedFleet::allowance(const Server& server, Millis from) const {
    const double expected = settings_.overload_multiple * capacity_share(server, from) * scenario_.cores /
                            service_time(server, 1) * settings_.overload_window;
    const double deviations = scenario_.wider_allowance_below_30 && expected < kFewRequests ? 3 : 2;
    return expected + deviations * std::sqrt(expected) + deviations;
}

SimulatedFleet::Window SimulatedFleet::worst_window() const {
    Window worst;
    for (const Server& server : servers_) {
        const std::vector<Millis>& times = server.sent_at;
        std::size_t last = 0;
        for (std::size_t first = 0; first < times.size(); ++first) {
            const Millis from = times[first];
            while (last < times.size() && times[last] <= from + settings_.overload_window) ++last;
            const double allowed = allowance(server, from);
            const auto sent = static_cast<double>(last - first);
            if (sent / allowed > worst.ratio) worst = {sent / allowed, sent, allowed, from};
        }
    }
    return worst;
}

std::size_t SimulatedFleet::sent_to_warming_up() const {
    std::size_t count = 0;
    for (const Server& server : servers_) count += server.sent_at.size();
    return count;
}

}  // namespace mothring::test
