#include "lab/lab.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "lab/metrics_client.hpp"

namespace mothring::lab {

using Json = nlohmann::json;
using std::chrono::steady_clock;

namespace {

// Time beyond the longest time-out of a request class, for the requests in flight at the end of a play.
constexpr Millis kRequestMargin = 1000;

// Each connection uses one descriptor at its client, two at the relay and one at its server, all in this
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
      platform_(scenario_),
      clients_(scenario_.classes, scenario_.rate, scenario_.seed + 1),
      fleet_(scenario_, std::filesystem::absolute(folder), std::filesystem::absolute(program), io_, platform_,
             [this](std::size_t i, const Json& event) { handle_event(i, event); }),
      faults_(scenario_, platform_, fleet_) {
    raise_descriptor_limit();
    std::filesystem::create_directories(std::filesystem::absolute(folder));
}

Lab::~Lab() = default;

// ---- Start

void Lab::start() {
    platform_.start();
    fleet_.start();
    const auto& sidecars = fleet_.sidecars();
    const auto ended = [&] {
        return std::find_if(sidecars.begin(), sidecars.end(),
                            [](const Fleet::Sidecar& sidecar) { return !sidecar.child->running(); });
    };
    until([&] { return all_listen() || ended() != sidecars.end(); }, kStartLimit);
    if (const auto at = ended(); at != sidecars.end())
        throw LabError("sidecar " + at->name + " ended during its start: see " +
                       (at->folder / "log").string());
    if (!all_listen()) throw LabError("not all sidecars were listening within the start time limit");
}

bool Lab::all_listen() const {
    const auto& sidecars = fleet_.sidecars();
    return std::all_of(sidecars.begin(), sidecars.end(), [this](const Fleet::Sidecar& sidecar) {
        return events_.count(sidecar.name, "sidecar.listening") > 0;
    });
}

void Lab::handle_event(std::size_t i, const Json& event) {
    const Fleet::Sidecar& sidecar = fleet_.at(i);
    events_.record(since_begun(), sidecar.name, event);
    if (event.value("event", "") != "sidecar.listening") return;
    fleet_.adopt_addresses(i, event);
    clients_.add(sidecar.name, scenario_.zone(i), sidecar.addresses.listen);
}

// ---- Play

Millis Lab::since_begun() const {
    return std::chrono::duration<Millis, std::milli>(steady_clock::now() - begun_).count();
}

bool Lab::until(const std::function<bool()>& reached, Millis limit) {
    const auto end = steady_clock::now() + to_duration(limit);
    for (;;) {
        if (reached()) return true;
        if (steady_clock::now() >= end) return false;
        io_.restart();
        // An event of a child process ends the wait early. State that other threads change is checked after
        // each poll interval.
        io_.run_one_until(std::min(end, steady_clock::now() + to_duration(kPollInterval)));
    }
}

void Lab::play(const std::function<bool(Millis)>& progress) {
    const std::vector<Action> actions = timeline();
    begin_play();
    run(actions, progress);
    played_ = since_begun();
    clients_.stop();
    if (!interrupted_) wait_for_requests();
}

std::vector<Lab::Action> Lab::timeline() {
    std::vector<Action> actions;
    for (const Fault& fault : scenario_.faults) {
        actions.push_back({fault.at, [this, &fault] { apply(fault); }});
        if (fault.length) actions.push_back({fault.at + *fault.length, [this, &fault] { lift(fault); }});
    }
    std::stable_sort(actions.begin(), actions.end(),
                     [](const Action& a, const Action& b) { return a.at < b.at; });
    return actions;
}

void Lab::begin_play() {
    lab_cpu_before_ = own_usage().cpu_s;
    for (const Fleet::Sidecar& sidecar : fleet_.sidecars())
        cpu_before_.push_back(sidecar.child->usage().cpu_s);
    for (const auto& server : platform_.servers()) server->start_seconds();
    clients_.start();
    begun_ = steady_clock::now();
    events_.clear_history();
}

void Lab::run(const std::vector<Action>& timeline, const std::function<bool(Millis)>& progress) {
    const auto now = [this] { return since_begun(); };
    auto next = timeline.begin();
    while (!interrupted_ && now() < scenario_.duration) {
        while (next != timeline.end() && next->at <= now()) (next++)->act();
        const Millis to =
            next == timeline.end() ? scenario_.duration : std::min(next->at, scenario_.duration);
        until([&] { return now() >= to; }, std::min(kPollInterval, std::max(0.0, to - now())));
        fleet_.note_ends();
        interrupted_ = progress && !progress(now());
    }
}

// Each request in flight ends by its own time-out, so the longest time-out of all classes bounds the wait.
void Lab::wait_for_requests() {
    Millis longest = 0;
    for (const ClientClass& request_class : scenario_.classes)
        longest = std::max(longest, request_class.timeout);
    until([&] { return clients_.in_flight() == 0; }, longest + kRequestMargin);
}

// ---- Report

Report Lab::report() {
    fleet_.note_ends();
    Report report;
    report.name = scenario_.name;
    report.seed = scenario_.seed;
    report.interrupted = interrupted_;
    report.played = played_;
    report.sidecars = sidecar_results();
    report.servers = server_results();
    report.faults = fault_bands();
    report.events = events_.history();
    report.detections = events_.detections(scenario_);
    report.cluster_bytes_per_s = cluster_traffic();
    report.relay = relay().counts();
    report.attempts = ledger().attempts();
    report.once_repeated = ledger().once_repeated();
    report.by_attempts = ledger().by_attempts();
    report.discovery_calls = discovery().calls();
    report.lab_cpu_s = own_usage().cpu_s - lab_cpu_before_;
    return report;
}

std::vector<Report::Sidecar> Lab::sidecar_results() {
    std::vector<Report::Sidecar> results;
    const auto tallies = clients_.tallies();
    for (const Fleet::Sidecar& sidecar : fleet_.sidecars()) {
        const std::size_t i = results.size();
        Usage usage = sidecar.usage();
        if (i < cpu_before_.size()) usage.cpu_s -= cpu_before_[i];
        const auto tally = tallies.find(sidecar.name);
        results.push_back({sidecar.name, scenario_.zone(i),
                           tally == tallies.end() ? ClientTally{} : tally->second, usage, sidecar.starts,
                           sidecar.ended_badly});
    }
    return results;
}

std::vector<Report::Server> Lab::server_results() const {
    std::vector<Report::Server> results;
    for (const auto& server : platform_.servers())
        results.push_back({server->name(), server->zone(), server->counts()});
    return results;
}

std::vector<Report::Band> Lab::fault_bands() const {
    std::vector<Report::Band> bands;
    for (const Fault& fault : scenario_.faults) {
        const std::string kind(fault_kinds().at(static_cast<std::size_t>(fault.kind)));
        const Millis lifted = fault.length ? std::min(fault.at + *fault.length, played_) : played_;
        bands.push_back({kind, fault.at, lifted});
    }
    return bands;
}

std::vector<double> Lab::cluster_traffic() const {
    std::vector<double> bytes_per_s;
    if (!scenario_.cluster_period) return bytes_per_s;
    for (std::size_t i = 0; i < fleet_.sidecars().size(); ++i) {
        const Json figures = child(i)->running() ? metrics(i) : Json();
        if (figures.is_object() && figures.contains("cluster"))
            bytes_per_s.push_back(figures["cluster"]["bytes_sent_per_s"].get<double>());
    }
    return bytes_per_s;
}

// ---- Queries

std::size_t Lab::events(std::size_t sidecar, const std::string& name, const std::string& member) const {
    const std::string& of = fleet_.at(sidecar).name;
    return member.empty() ? events_.count(of, name) : events_.count(of, name, member);
}

Json Lab::last_event(std::size_t sidecar, const std::string& name) const {
    return events_.last(fleet_.at(sidecar).name, name);
}

Json Lab::metrics(std::size_t sidecar) const { return fetch_metrics(fleet_.at(sidecar).addresses.operators); }

}  // namespace mothring::lab
