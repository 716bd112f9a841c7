#include "lab/scan_server.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <cstdio>

namespace mothring::lab {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

Millis Latency::sample(std::mt19937_64& random) const {
    switch (kind) {
        case Kind::constant:
            return ms;
        case Kind::uniform:
            return std::uniform_real_distribution(ms, std::max(ms, spread))(random);
        case Kind::exponential:
            return std::exponential_distribution(1 / std::max(ms, 1e-3))(random);
        case Kind::lognormal:
            return std::lognormal_distribution(std::log(std::max(ms, 1e-3)), spread)(random);
    }
    return ms;
}

struct ScanServer::Connection {
    explicit Connection(Tcp::socket s) : socket(std::move(s)), idle(socket.get_executor()) {}
    Tcp::socket socket;
    asio::steady_timer idle;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
};

ScanServer::ScanServer(std::string name, std::string zone, const Behaviour& behaviour, std::uint64_t seed,
                       std::shared_ptr<Ledger> ledger)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      behaviour_(behaviour),
      random_(seed),
      ledger_(std::move(ledger)),
      acceptor_(worker_.io(), any_tcp_port),
      address_(acceptor_.local_endpoint()) {
    worker_.call([this] { worker_.spawn(accept()); });
}

ScanServer::~ScanServer() { worker_.stop(); }

void ScanServer::set(const Behaviour& behaviour) {
    worker_.call([&] { behaviour_ = behaviour; });
}
Behaviour ScanServer::behaviour() {
    return worker_.call([&] { return behaviour_; });
}

void ScanServer::set_down(bool down) {
    worker_.call([&] {
        if (std::exchange(down_, down) && !down) {
            started_ = steady_clock::now();
            cold_ = true;
        }
        if (!down) return;
        for (const auto& weak : connections_)
            if (const auto connection = weak.lock()) reset_on_close(connection->socket);
        connections_.clear();
    });
}

ScanServer::Counts ScanServer::counts() {
    return worker_.call([&] {
        Counts counts = counts_;
        counts.open = static_cast<std::size_t>(std::count_if(
            connections_.begin(), connections_.end(), [](const auto& weak) { return !weak.expired(); }));
        return counts;
    });
}

void ScanServer::start_seconds() {
    worker_.call([&] {
        series_start_ = steady_clock::now();
        series_ = true;
    });
}

double ScanServer::capacity() const {
    if (!cold_ || behaviour_.warm_ms <= 0) return 1;
    const double warmth = std::chrono::duration<double, std::milli>(steady_clock::now() - started_).count() /
                          behaviour_.warm_ms;
    return std::min(1.0, behaviour_.cold_from + (1 - behaviour_.cold_from) * warmth);
}

std::string ScanServer::load() const {
    char text[80];
    std::snprintf(text, sizeof text, "inflight=%zu,queue=%zu,util=%.2f", at_work_, waiting_.size(),
                  static_cast<double>(at_work_) / static_cast<double>(behaviour_.slots));
    return text;
}

void ScanServer::release() {
    --at_work_;
    if (!waiting_.empty()) {
        waiting_.front()->cancel();
        waiting_.pop_front();
    }
}

Task ScanServer::accept() {
    for (;;) {
        error_code failed;
        Tcp::socket socket = co_await acceptor_.async_accept(into(failed));
        if (failed) co_return;
        if (down_) {
            reset_on_close(socket);
            continue;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket));
        connections_.remove_if([](const auto& weak) { return weak.expired(); });
        connections_.push_back(connection);
        worker_.spawn(serve(connection));
    }
}

Task ScanServer::serve(ConnectionPtr connection) {
    error_code failed;
    connection->socket.set_option(Tcp::no_delay(true), failed);
    for (;;) {
        connection->request = {};
        // The platform requires that an idle connection is closed no later than the configured idle time.
        connection->idle.expires_after(to_duration(behaviour_.idle_close));
        connection->idle.async_wait([weak = std::weak_ptr(connection)](error_code cancelled) {
            if (const auto idle = weak.lock(); idle && !cancelled) idle->socket.close(cancelled);
        });
        co_await http::async_read(connection->socket, connection->buffer, connection->request, into(failed));
        connection->idle.cancel();
        if (failed) co_return;
        if (!co_await answer(*connection)) co_return;
    }
}

asio::awaitable<bool> ScanServer::answer(Connection& connection) {
    const auto& request = connection.request;
    error_code failed;
    http::response<http::string_body> response{http::status::ok, 11};
    const auto reply = [&]() -> asio::awaitable<bool> {
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await http::async_write(connection.socket, response, into(failed));
        co_return !failed && request.keep_alive();
    };

    if (request.target() == "/ping" || request.target() == "/_load") {
        ++counts_.pings;
        if (behaviour_.silent) co_return false;
        if (request.target() == "/_load") response.body() = load();
        co_return co_await reply();
    }
    const std::string id(request["Request-Id"]);
    if (id.empty()) {
        response.result(http::status::not_found);
        co_return co_await reply();
    }
    ++counts_.arrived;
    if (series_) {
        const auto second = static_cast<std::size_t>(
            std::chrono::duration_cast<std::chrono::seconds>(steady_clock::now() - series_start_).count());
        if (second >= counts_.seconds.size()) counts_.seconds.resize(second + 1);
        ++counts_.seconds[second];
    }
    const Idempotency effect = request.method() == http::verb::get   ? Idempotency::always
                               : !request["Idempotency-Key"].empty() ? Idempotency::with_key
                                                                     : Idempotency::never;
    std::uniform_real_distribution<double> share(0, 1);
    const bool rejected = share(random_) < behaviour_.turn_away_share ||
                          (at_work_ >= behaviour_.slots && waiting_.size() >= behaviour_.queue);
    ledger_->arrived(id, effect, !rejected);
    if (rejected) {
        ++counts_.turned_away;
        response.result(http::status::service_unavailable);
        response.set("Not-Started", "1");
        co_return co_await reply();
    }
    // Free slots are assigned in the order of arrival.
    while (at_work_ >= behaviour_.slots) {
        asio::steady_timer turn(worker_.io(), steady_clock::time_point::max());
        waiting_.push_back(&turn);
        co_await turn.async_wait(into(failed));
    }
    counts_.most_at_work = std::max(counts_.most_at_work, ++at_work_);
    asio::steady_timer work(worker_.io(),
                            to_duration(behaviour_.latency.sample(random_) * behaviour_.slow / capacity()));
    co_await work.async_wait(into(failed));
    // A silent server holds the slot until the sidecar sends more data or closes, or until set_down() resets
    // the connection.
    if (behaviour_.silent) {
        ++counts_.silent;
        std::array<char, 64> discarded;
        co_await connection.socket.async_read_some(asio::buffer(discarded), into(failed));
        release();
        co_return false;
    }
    release();
    if (share(random_) < behaviour_.reset_share) {
        ++counts_.resets;
        static const std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 256\r\n\r\nhalf";
        co_await asio::async_write(connection.socket, asio::buffer(half), into(failed));
        reset_on_close(connection.socket);
        co_return false;
    }
    if (behaviour_.reports) response.set("Server-Load", load());
    if (share(random_) < behaviour_.error_share) {
        ++counts_.errors;
        response.result(http::status::internal_server_error);
    } else {
        ++counts_.served;
        response.body() = id + " " + name_ + " " + zone_ + " ";
        if (response.body().size() < behaviour_.body_bytes)
            response.body().resize(behaviour_.body_bytes, '.');
    }
    co_return co_await reply();
}

}  // namespace mothring::lab
