#include "lab/lab.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "lab/metrics_client.hpp"

namespace mothring::lab {

using Json = nlohmann::json;
using std::chrono::steady_clock;

namespace {

constexpr Millis kStep = 50;           // between looks at what is waited for
constexpr Millis kStartLimit = 20000;  // for all sidecars to listen

void add(Usage& to, const Usage& more) {
    to.cpu_s += more.cpu_s;
    to.memory_kb = std::max(to.memory_kb, more.memory_kb);
}

// Each connection costs a descriptor at its client, two at the relay and one at its server, all in this
// process.
void raise_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

Lab::Lab(Scenario scenario, const std::filesystem::path& folder, const std::filesystem::path& program)
    : scenario_(std::move(scenario)),
      folder_(std::filesystem::absolute(folder)),
      program_(std::filesystem::absolute(program)),
      addresses_(127U << 24 | (1 + std::random_device{}() % 250) << 16 | std::random_device{}() % 250 << 8 |
                 1),
      relay_(scenario_.seed),
      config_(scenario_, relay_),
      clients_(scenario_.classes, scenario_.rate, scenario_.seed + 1) {
    raise_descriptor_limit();
    std::filesystem::create_directories(folder_);
}

Lab::~Lab() = default;

std::size_t Lab::index_of(const std::string& node) const {
    return static_cast<std::size_t>(std::stoul(node.substr(1))) - 1;
}

// ---- Start

void Lab::start() {
    discovery_ = std::make_unique<DiscoveryStandIn>(
        [this](const std::string& viewer, const std::string& server) {
            return links_.at({viewer, server});
        },
        scenario_.discovery_service);
    std::vector<DiscoveryStandIn::Entry> entries;
    for (std::size_t i = 0; i < scenario_.servers; ++i) {
        const std::string name = scenario_.server_name(i);
        servers_.push_back(std::make_unique<ScanServer>(name, scenario_.zone(i), scenario_.behaviour,
                                                        scenario_.seed * 1000 + i, ledger_));
        for (std::size_t n = 0; n < scenario_.sidecars; ++n)
            links_[{scenario_.sidecar_name(n), name}] =
                relay_.tcp_link(scenario_.sidecar_name(n), name, servers_.back()->address());
        entries.push_back({name, scenario_.zone(i)});
    }
    discovery_->put(entries);
    sidecars_.resize(scenario_.sidecars);
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        SidecarProcess& s = sidecars_[i];
        s.name = scenario_.sidecar_name(i);
        s.folder = folder_ / s.name;
        // An address of its own, so that nobody takes its ports while it is down: the system gives other
        // sockets theirs at 127.0.0.1.
        const asio::ip::address_v4 own(addresses_ + static_cast<std::uint32_t>(i));
        s.addresses.listen.address(own);
        s.addresses.operators.address(own);
        s.addresses.peers.address(own);
        s.addresses.discovery = relay_.tcp_link(s.name, "discovery", discovery_->add_viewer(s.name));
        std::filesystem::create_directories(s.folder / "tmp");
    }
    for (std::size_t i = 0; i < sidecars_.size(); ++i) launch(i);
    const auto listening = [this] {
        return std::all_of(sidecars_.begin(), sidecars_.end(),
                           [this](const auto& s) { return events_.count(s.name, "sidecar.listening") > 0; });
    };
    const auto ended = [this] {
        return std::find_if(sidecars_.begin(), sidecars_.end(),
                            [](const auto& s) { return !s.child->running(); });
    };
    until([&] { return listening() || ended() != sidecars_.end(); }, kStartLimit);
    if (const auto at = ended(); at != sidecars_.end())
        throw LabError("sidecar " + at->name + " ended at its start: see " + (at->folder / "log").string());
    if (!listening()) throw LabError("the sidecars did not all listen within the limit");
}

void Lab::launch(std::size_t i) {
    SidecarProcess& s = sidecars_[i];
    config_.write(i, s.starts, s.addresses, Json::parse(discovery_->list(s.name)), s.folder);
    ++s.starts;
    s.told_to_end = false;
    s.child = std::make_unique<Child>(
        io_,
        std::vector<std::string>{program_.string(), "run", "--config", (s.folder / "sidecar.toml").string()},
        std::map<std::string, std::string>{{"LB_CONFIG", (s.folder / "config.json").string()},
                                           {"LB_NAME", s.name},
                                           {"TMPDIR", (s.folder / "tmp").string()}},
        s.folder / "log", [this, i](const Json& event) { heard(i, event); });
}

void Lab::heard(std::size_t i, const Json& event) {
    SidecarProcess& s = sidecars_[i];
    const std::string name = event.value("event", "");
    events_.record(since_begun(), s.name, event);
    if (name != "sidecar.listening") return;
    // The ports that the system chose stay its own over restarts.
    s.addresses.listen = node::read_address(event.value("listen", ""), "listen");
    if (event.contains("operator"))
        s.addresses.operators = node::read_address(event.value("operator", ""), "operator");
    for (const char* const key : {"peers", "cluster"})
        if (const auto peers = node::endpoint_of<Udp::endpoint>(event.value(key, ""))) {
            s.addresses.peers = *peers;
            relay_.set_peer_address(s.name, s.addresses.peers);
        }
    clients_.add(s.name, scenario_.zone(i), s.addresses.listen);
}

// ---- Faults

void Lab::signal(std::size_t i, int number) {
    SidecarProcess& s = sidecars_.at(i);
    s.told_to_end |= number == SIGKILL || number == SIGTERM;
    s.child->signal(number);
}

void Lab::restart(std::size_t i) {
    SidecarProcess& s = sidecars_.at(i);
    if (s.child->running()) throw LabError("sidecar " + s.name + " still runs");
    look_after();
    add(s.past, s.child->usage());
    launch(i);
}

Task Lab::restart_later(std::size_t i, Millis after) {
    asio::steady_timer timer(io_, span(after));
    error_code ignored;
    co_await timer.async_wait(into(ignored));
    for (Millis waited = 0; sidecars_[i].child->running() && waited < kStartLimit; waited += kStep) {
        timer.expires_after(span(kStep));  // it drains
        co_await timer.async_wait(into(ignored));
    }
    restart(i);
}

void Lab::look_after() {
    for (SidecarProcess& s : sidecars_) {
        if (!s.child || s.child->running()) continue;
        const int status = *s.child->status();
        s.ended_badly |= !(s.told_to_end && ((WIFEXITED(status) && WEXITSTATUS(status) == 0) ||
                                             (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL)));
    }
}

void Lab::apply(const Fault& f) {
    const auto targets = scenario_.select(f.from);
    switch (f.kind) {
        case FaultKind::partition:
        case FaultKind::delay:
        case FaultKind::drop:
        case FaultKind::reset:
            rules_[&f] = relay_.add({targets, scenario_.select(f.to), f.both_ways, f.conditions});
            return;
        case FaultKind::kill:
        case FaultKind::drain:
            for (const auto& node : targets) {
                signal(index_of(node), f.kind == FaultKind::kill ? SIGKILL : SIGTERM);
                if (f.restart_after)
                    asio::co_spawn(io_, restart_later(index_of(node), *f.restart_after), asio::detached);
            }
            return;
        case FaultKind::stop:
            for (const auto& node : targets) signal(index_of(node), SIGSTOP);
            return;
        case FaultKind::server:
            for (const auto& node : targets) {
                ScanServer& server = *servers_.at(index_of(node));
                Behaviour b = server.behaviour();
                behaviours_.try_emplace(node, b);
                b.error_share = f.error_share.value_or(b.error_share);
                b.turn_away_share = f.turn_away_share.value_or(b.turn_away_share);
                b.reset_share = f.reset_share.value_or(b.reset_share);
                b.slow = f.slow.value_or(b.slow);
                b.silent = f.silent.value_or(b.silent);
                server.set(b);
            }
            return;
        case FaultKind::server_down:
            for (const auto& node : targets) {
                relay_.set_refused(node, true);
                servers_.at(index_of(node))->set_down(true);
            }
            return;
        case FaultKind::list:
            return discovery_->set_state({targets.begin(), targets.end()}, f.state);
        case FaultKind::discovery:
            return discovery_->set_mode(f.mode);
    }
}

void Lab::lift(const Fault& f) {
    const auto targets = scenario_.select(f.from);
    switch (f.kind) {
        case FaultKind::partition:
        case FaultKind::delay:
        case FaultKind::drop:
        case FaultKind::reset:
            if (const auto rule = rules_.find(&f); rule != rules_.end()) {
                relay_.remove(rule->second);
                rules_.erase(rule);
            }
            return;
        case FaultKind::kill:
        case FaultKind::drain:
            return;
        case FaultKind::stop:
            for (const auto& node : targets) signal(index_of(node), SIGCONT);
            return;
        case FaultKind::server:
            for (const auto& node : targets)
                if (const auto before = behaviours_.extract(node))
                    servers_.at(index_of(node))->set(before.mapped());
            return;
        case FaultKind::server_down:
            for (const auto& node : targets) {
                servers_.at(index_of(node))->set_down(false);
                relay_.set_refused(node, false);
                discovery_->restarted(node);
            }
            return;
        case FaultKind::list:
            return discovery_->set_state({targets.begin(), targets.end()}, "Ready");
        case FaultKind::discovery:
            return discovery_->set_mode(DiscoveryStandIn::Mode::up);
    }
}

// ---- Play

Millis Lab::since_begun() const {
    return std::chrono::duration<Millis, std::milli>(steady_clock::now() - begun_).count();
}

bool Lab::until(const std::function<bool()>& reached, Millis limit) {
    const auto end = steady_clock::now() + span(limit);
    for (;;) {
        if (reached()) return true;
        if (steady_clock::now() >= end) return false;
        io_.restart();
        // An event of a child ends the wait early; what the other threads do is looked for after a step.
        io_.run_one_until(std::min(end, steady_clock::now() + span(kStep)));
    }
}

void Lab::play(const std::function<bool(Millis)>& progress) {
    std::vector<Due> timeline;
    for (const Fault& fault : scenario_.faults) {
        timeline.push_back({fault.at, [this, &fault] { apply(fault); }});
        if (fault.length) timeline.push_back({fault.at + *fault.length, [this, &fault] { lift(fault); }});
    }
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const Due& a, const Due& b) { return a.at < b.at; });
    lab_cpu_before_ = own_usage().cpu_s;
    for (const SidecarProcess& s : sidecars_) cpu_before_.push_back(s.child->usage().cpu_s);
    for (auto& server : servers_) server->start_seconds();
    clients_.start();
    begun_ = steady_clock::now();
    events_.clear_history();
    const auto now = [this] { return since_begun(); };
    auto next = timeline.begin();
    while (!interrupted_ && now() < scenario_.duration) {
        while (next != timeline.end() && next->at <= now()) (next++)->act();
        const Millis to =
            next == timeline.end() ? scenario_.duration : std::min(next->at, scenario_.duration);
        until([&] { return now() >= to; }, std::min(kStep, std::max(0.0, to - now())));
        look_after();
        interrupted_ = progress && !progress(now());
    }
    played_ = now();
    clients_.stop();
    // What is out has its own limit of time; that of the longest class bounds the wait.
    Millis longest = 0;
    for (const ClientClass& c : scenario_.classes) longest = std::max(longest, c.timeout);
    if (!interrupted_) until([&] { return clients_.out() == 0; }, longest + 1000);
}

Report Lab::report() {
    look_after();
    Report r;
    r.name = scenario_.name;
    r.seed = scenario_.seed;
    r.interrupted = interrupted_;
    r.played = played_;
    const auto tallies = clients_.tallies();
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        const SidecarProcess& s = sidecars_[i];
        Usage usage = s.past;
        add(usage, s.child->usage());
        if (i < cpu_before_.size()) usage.cpu_s -= cpu_before_[i];
        const auto tally = tallies.find(s.name);
        r.sidecars.push_back({s.name, scenario_.zone(i),
                              tally == tallies.end() ? ClientTally{} : tally->second, usage, s.starts,
                              s.ended_badly});
    }
    for (const auto& server : servers_)
        r.servers.push_back({server->name(), server->zone(), server->counts()});
    for (const Fault& f : scenario_.faults)
        r.faults.push_back({std::string(fault_kinds().at(static_cast<std::size_t>(f.kind))), f.at,
                            f.length ? std::min(f.at + *f.length, r.played) : r.played});
    r.events = events_.history();
    r.detections = events_.detections(scenario_);
    if (scenario_.cluster_period)
        for (std::size_t i = 0; i < sidecars_.size(); ++i) {
            const Json figures = sidecars_[i].child->running() ? metrics(i) : Json();
            if (figures.is_object() && figures.contains("cluster"))
                r.cluster_bytes_per_s.push_back(figures["cluster"]["bytes_sent_per_s"].get<double>());
        }
    r.relay = relay_.counts();
    r.attempts = ledger_->attempts();
    r.once_repeated = ledger_->once_repeated();
    r.by_attempts = ledger_->by_attempts();
    r.discovery_calls = discovery_->calls();
    r.lab_cpu_s = own_usage().cpu_s - lab_cpu_before_;
    return r;
}

// ---- Questions

std::size_t Lab::events(std::size_t sidecar, const std::string& name, const std::string& member) const {
    const std::string& of = sidecars_.at(sidecar).name;
    return member.empty() ? events_.count(of, name) : events_.count(of, name, member);
}

Json Lab::last_event(std::size_t sidecar, const std::string& name) const {
    return events_.last(sidecars_.at(sidecar).name, name);
}

Json Lab::metrics(std::size_t sidecar) const {
    return fetch_metrics(sidecars_.at(sidecar).addresses.operators);
}

}  // namespace mothring::lab
