#include "lab/fleet.hpp"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <random>
#include <utility>

namespace mothring::lab {

using Json = nlohmann::json;

namespace {

// Returns a random address 127.X.Y.1, with X from 1 to 250 and Y from 0 to 249, so that concurrent
// experiments rarely use the same addresses.
std::uint32_t draw_first_address() {
    std::random_device random;
    return 127U << 24 | (1 + random() % 250) << 16 | random() % 250 << 8 | 1;
}

void add(Usage& to, const Usage& more) {
    to.cpu_s += more.cpu_s;
    to.memory_kb = std::max(to.memory_kb, more.memory_kb);
}

// Returns whether the process exited with 0 or was ended by SIGKILL.
bool ended_well(int status) {
    return (WIFEXITED(status) && WEXITSTATUS(status) == 0) ||
           (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
}

}  // namespace

Usage Fleet::Sidecar::usage() const {
    Usage sum = past;
    add(sum, child->usage());
    return sum;
}

Fleet::Fleet(const Scenario& scenario, std::filesystem::path folder, std::filesystem::path program,
             asio::io_context& io, Platform& platform, OnEvent on_event)
    : scenario_(scenario),
      folder_(std::move(folder)),
      program_(std::move(program)),
      io_(io),
      platform_(platform),
      on_event_(std::move(on_event)),
      config_(scenario, platform.relay()),
      first_address_(draw_first_address()) {}

void Fleet::start() {
    sidecars_.resize(scenario_.sidecars);
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        Sidecar& sidecar = sidecars_[i];
        sidecar.name = scenario_.sidecar_name(i);
        sidecar.folder = folder_ / sidecar.name;
        // Each sidecar has its own address, so that no other socket takes its ports while it is down: the
        // other sockets get their ports at 127.0.0.1.
        const asio::ip::address_v4 own(first_address_ + static_cast<std::uint32_t>(i));
        sidecar.addresses.listen.address(own);
        sidecar.addresses.operators.address(own);
        sidecar.addresses.peers.address(own);
        sidecar.addresses.discovery = platform_.add_viewer(sidecar.name);
        std::filesystem::create_directories(sidecar.folder / "tmp");
    }
    for (std::size_t i = 0; i < sidecars_.size(); ++i) launch(i);
}

void Fleet::launch(std::size_t i) {
    Sidecar& sidecar = sidecars_[i];
    const Json known = Json::parse(platform_.discovery().list(sidecar.name));
    config_.write(i, sidecar.starts, sidecar.addresses, known, sidecar.folder);
    ++sidecar.starts;
    sidecar.end_requested = false;
    const std::vector<std::string> command{program_.string(), "run", "--config",
                                           (sidecar.folder / "sidecar.toml").string()};
    const std::map<std::string, std::string> environment{
        {"LB_CONFIG", (sidecar.folder / "config.json").string()},
        {"LB_NAME", sidecar.name},
        {"TMPDIR", (sidecar.folder / "tmp").string()}};
    sidecar.child = std::make_unique<Child>(io_, command, environment, sidecar.folder / "log",
                                            [this, i](const Json& event) { on_event_(i, event); });
}

void Fleet::adopt_addresses(std::size_t i, const Json& listening) {
    Sidecar& sidecar = sidecars_.at(i);
    SidecarAddresses& own = sidecar.addresses;
    own.listen = config::read_address(listening.value("listen", ""), "listen");
    if (listening.contains("operator"))
        own.operators = config::read_address(listening.value("operator", ""), "operator");
    for (const char* const key : {"peers", "cluster"})
        if (const auto peers = net::parse_endpoint<Udp::endpoint>(listening.value(key, ""))) {
            own.peers = *peers;
            platform_.relay().set_peer_address(sidecar.name, own.peers);
        }
}

void Fleet::signal(std::size_t i, int number) {
    Sidecar& sidecar = sidecars_.at(i);
    sidecar.end_requested |= number == SIGKILL || number == SIGTERM;
    sidecar.child->signal(number);
}

void Fleet::restart(std::size_t i) {
    Sidecar& sidecar = sidecars_.at(i);
    if (sidecar.child->running()) throw LabError("sidecar " + sidecar.name + " is still running");
    note_ends();
    add(sidecar.past, sidecar.child->usage());
    launch(i);
}

void Fleet::restart_after(std::size_t i, Millis delay) {
    asio::co_spawn(io_, restart_later(i, delay), asio::detached);
}

Task Fleet::restart_later(std::size_t i, Millis delay) {
    asio::steady_timer timer(io_, to_duration(delay));
    error_code ignored;
    co_await timer.async_wait(into(ignored));
    for (Millis waited = 0; sidecars_[i].child->running() && waited < kStartLimit; waited += kPollInterval) {
        timer.expires_after(to_duration(kPollInterval));  // The sidecar is still draining.
        co_await timer.async_wait(into(ignored));
    }
    restart(i);
}

void Fleet::note_ends() {
    for (Sidecar& sidecar : sidecars_) {
        if (!sidecar.child || sidecar.child->running()) continue;
        sidecar.ended_badly |= !(sidecar.end_requested && ended_well(*sidecar.child->status()));
    }
}

}  // namespace mothring::lab
