#include "lab/discovery.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <string_view>

namespace mothring::lab {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr std::uint64_t kMaxHoldMs = 60000;  // The platform limits a watch to 60 s.

std::optional<std::uint64_t> parameter(std::string_view target, std::string_view name) {
    const auto question = target.find('?');
    if (question == std::string_view::npos) return std::nullopt;
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        std::uint64_t value = 0;
        if (pair.size() > name.size() && pair.substr(0, name.size()) == name && pair[name.size()] == '=' &&
            net::parse_number(pair.substr(name.size() + 1), value))
            return value;
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

}  // namespace

DiscoveryStandIn::DiscoveryStandIn(AddressOf address_of, Millis service, Millis max_wait)
    : address_of_(std::move(address_of)), service_(service), max_wait_(max_wait) {}

DiscoveryStandIn::~DiscoveryStandIn() { worker_.stop(); }

Tcp::endpoint DiscoveryStandIn::add_viewer(const std::string& viewer) {
    return worker_.call([&] {
        Viewer& added = viewers_.emplace_back(Viewer{viewer, Tcp::acceptor(worker_.io(), any_tcp_port)});
        worker_.spawn(accept(added));
        return added.acceptor.local_endpoint();
    });
}

void DiscoveryStandIn::record_change(std::string id) { changed_at_[std::move(id)] = version_; }

void DiscoveryStandIn::wake_watches() {
    for (Watch* const watch : watches_) watch->changed.cancel();
}

void DiscoveryStandIn::put(const std::vector<Entry>& entries) {
    worker_.call([&] {
        ++version_;
        for (const Entry& entry : entries) {
            entries_[entry.id] = entry;
            record_change(entry.id);
        }
        wake_watches();
    });
}

void DiscoveryStandIn::set_state(const std::vector<std::string>& ids, const std::string& state) {
    worker_.call([&] {
        ++version_;
        for (const std::string& id : ids) {
            entries_.at(id).state = state;
            record_change(id);
        }
        wake_watches();
    });
}

void DiscoveryStandIn::restarted(const std::string& id) {
    worker_.call([&] {
        ++version_;
        entries_.at(id).started_ms = static_cast<std::uint64_t>(net::read_system_clock() + stepped_by_);
        record_change(id);
        wake_watches();
    });
}

void DiscoveryStandIn::step_clocks(Millis by) {
    worker_.call([&] { stepped_by_ += by; });
}

void DiscoveryStandIn::set_mode(Mode mode) {
    worker_.call([&] {
        mode_ = mode;
        if (mode_ == Mode::up) return;
        wake_watches();
        if (mode_ != Mode::resetting) return;
        for (const auto& weak : open_)
            if (const auto socket = weak.lock()) reset_on_close(*socket);
        open_.clear();
    });
}

std::string DiscoveryStandIn::list(const std::string& viewer) {
    return worker_.call([&] { return body(viewer, 0); });
}
std::uint64_t DiscoveryStandIn::calls() {
    return worker_.call([&] { return calls_; });
}
std::size_t DiscoveryStandIn::watches() {
    return worker_.call([&] { return watches_.size(); });
}

std::string DiscoveryStandIn::body(const std::string& viewer, std::uint64_t from) const {
    const bool full = from == 0 || from > version_;
    nlohmann::json servers = nlohmann::json::array();
    for (const auto& [id, entry] : entries_) {
        if (full ? entry.state == "Gone" : changed_at_.at(id) <= from) continue;
        servers.push_back({{"id", id},
                           {"addr", net::format_endpoint(address_of_(viewer, id))},
                           {"zone", entry.zone},
                           {"kind", entry.kind},
                           {"cell", entry.cell},
                           {"state", entry.state},
                           {"weight", 1.0},
                           {"started_ms", entry.started_ms}});
    }
    return nlohmann::json{{"version", version_}, {"full", full}, {"servers", std::move(servers)}}.dump();
}

Task DiscoveryStandIn::accept(Viewer& viewer) {
    for (;;) {
        error_code failed;
        auto socket = std::make_shared<Tcp::socket>(co_await viewer.acceptor.async_accept(into(failed)));
        if (failed) co_return;
        if (mode_ == Mode::resetting) {
            reset_on_close(*socket);
            continue;
        }
        open_.remove_if([](const auto& weak) { return weak.expired(); });
        open_.push_back(socket);
        worker_.spawn(serve(viewer, std::move(socket)));
    }
}

Task DiscoveryStandIn::serve(Viewer& viewer, std::shared_ptr<Tcp::socket> socket) {
    boost::beast::flat_buffer buffer;
    asio::steady_timer timer(worker_.io());
    error_code failed;
    for (;;) {
        http::request<http::string_body> request;
        co_await http::async_read(*socket, buffer, request, into(failed));
        if (failed) co_return;
        ++calls_;
        http::response<http::string_body> response{http::status::ok, 11};
        const std::string target(request.target());
        if (target.substr(0, target.find('?')) != "/catalog/members") {
            response.result(http::status::not_found);
        } else {
            const auto now = steady_clock::now();
            free_at_ = std::max(free_at_, now);
            const bool overloaded = free_at_ - now > to_duration(max_wait_);
            if (!overloaded) {
                free_at_ += to_duration(service_);
                timer.expires_at(free_at_);
                co_await timer.async_wait(into(failed));
            }
            const auto from = parameter(target, "from").value_or(0);
            const auto hold = std::min(parameter(target, "hold_ms").value_or(0), kMaxHoldMs);
            if (!overloaded && from > 0 && hold > 0 && from == version_ && mode_ == Mode::up) {
                Watch watch{asio::steady_timer(worker_.io(), std::chrono::milliseconds(hold))};
                watches_.push_back(&watch);
                co_await watch.changed.async_wait(into(failed));
                watches_.remove(&watch);
            }
            if (overloaded || mode_ != Mode::up)
                response.result(http::status::service_unavailable);
            else
                response.body() = body(viewer.name, from);
            response.set(http::field::content_type, "application/json");
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await http::async_write(*socket, response, into(failed));
        if (failed || !request.keep_alive()) co_return;
    }
}

}  // namespace mothring::lab
