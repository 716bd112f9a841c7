#include "lab/clients.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <sstream>

namespace mothring::lab {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

// The platform requires that every time limit on sockets is 50 ms longer than its nominal value.
constexpr Millis kTimeoutMargin = 50;
constexpr std::size_t kMaxIdleConnections = 64;

std::string hex(std::uint64_t value) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

// The state of an idle connection: usable, closed by the sidecar, or with unexpected bytes to read.
enum class IdleState { usable, closed, unexpected_data };
IdleState state_of(Tcp::socket& socket) {
    char byte;
    const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size > 0          ? IdleState::unexpected_data
           : size == 0       ? IdleState::closed
           : errno == EAGAIN ? IdleState::usable
                             : IdleState::closed;
}

}  // namespace

Clients::Clients(std::vector<ClientClass> classes, double rate, std::uint64_t seed)
    : classes_(std::move(classes)), rate_(rate), random_(seed) {}
Clients::~Clients() { worker_.stop(); }

void Clients::add(const std::string& sidecar, const std::string& zone, const Tcp::endpoint& address) {
    worker_.call([&] {
        Application& application = applications_[sidecar];
        application.name = sidecar;
        application.zone = zone;
        application.number = applications_.size();
        application.address = address;
    });
}

void Clients::start() {
    worker_.call([&] {
        start_ = steady_clock::now();
        running_ = started_ = true;
        for (auto& [name, application] : applications_) worker_.spawn(arrivals(application));
    });
}
void Clients::stop() {
    worker_.call([&] { running_ = false; });
}
void Clients::set_rate(double rate) {
    worker_.call([&] { rate_ = rate; });
}
std::size_t Clients::in_flight() {
    return worker_.call([&] { return in_flight_; });
}
std::map<std::string, ClientTally> Clients::tallies() {
    return worker_.call([&] {
        std::map<std::string, ClientTally> tallies;
        for (const auto& [name, application] : applications_) tallies[name] = application.tally;
        return tallies;
    });
}

std::future<Clients::Result> Clients::ask(const std::string& sidecar, std::size_t class_index,
                                          const std::string& key) {
    const auto promise = std::make_shared<std::promise<Result>>();
    worker_.call([&] { worker_.spawn(request(applications_.at(sidecar), class_index, key, promise)); });
    return promise->get_future();
}

Millis Clients::elapsed() const {
    return std::chrono::duration<Millis, std::milli>(steady_clock::now() - start_).count();
}

std::size_t Clients::draw_class() {
    double sum = 0;
    for (const ClientClass& request_class : classes_) sum += request_class.share;
    double at = std::uniform_real_distribution<double>(0, sum)(random_);
    for (std::size_t i = 0; i + 1 < classes_.size(); ++i)
        if ((at -= classes_[i].share) < 0) return i;
    return classes_.size() - 1;
}

Task Clients::arrivals(Application& application) {
    asio::steady_timer timer(worker_.io());
    error_code ignored;
    auto next = steady_clock::now();
    while (running_) {
        // The arrivals are an open loop: neither a pending answer nor a late timer postpones the next one.
        next += to_duration(1000 * std::exponential_distribution(std::max(rate_, 1e-6))(random_));
        timer.expires_at(next);
        co_await timer.async_wait(into(ignored));
        if (running_) worker_.spawn(request(application, draw_class(), "", nullptr));
    }
}

Task Clients::request(Application& application, std::size_t class_index, std::string key,
                      std::shared_ptr<std::promise<Result>> promise) {
    ++in_flight_;
    const ClientClass& request_class = classes_.at(class_index);
    const Millis sent = started_ ? elapsed() : 0;
    Result result = co_await exchange(application, request_class, std::move(key));
    --in_flight_;
    if (started_) count(application, result, request_class, sent);
    if (promise) promise->set_value(std::move(result));
}

void Clients::count(Application& application, const Result& result, const ClientClass& request_class,
                    Millis sent) {
    const auto second = static_cast<std::size_t>(sent / 1000);
    if (second >= application.tally.seconds.size()) application.tally.seconds.resize(second + 1);
    for (Tally* tally : {&application.tally.all, &application.tally.seconds[second]}) {
        ++(*tally)[result.end];
        if (result.end != End::served) continue;
        tally->latency.record(result.latency * 1000);
        tally->on_time += result.latency <= request_class.on_time;
        tally->crossed += result.zone != application.zone;
    }
}

asio::awaitable<Clients::Result> Clients::exchange(Application& application, const ClientClass& request_class,
                                                   std::string key) {
    Result result;
    result.id = hex(application.number << 48 | next_id_++);
    std::ostringstream text;
    text << (request_class.effect == Idempotency::always ? "GET /" : "POST /") << request_class.name
         << " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " << result.id
         << "\r\nRequest-Class: " << request_class.name
         << "\r\nRequest-Timeout-Ms: " << static_cast<int>(request_class.timeout) << "\r\n";
    if (!key.empty()) text << "Scan-Key: " << key << "\r\n";
    if (request_class.effect == Idempotency::with_key) text << "Idempotency-Key: key-" << result.id << "\r\n";
    if (request_class.effect != Idempotency::always)
        text << "Content-Length: 4\r\n\r\nscan";
    else
        text << "\r\n";
    const std::string bytes = text.str();
    const auto began = steady_clock::now();
    std::unique_ptr<Tcp::socket> socket;
    bool extra = false;
    while (!socket && !application.idle.empty()) {
        socket = std::move(application.idle.back());
        application.idle.pop_back();
        const IdleState state = state_of(*socket);
        extra |= state == IdleState::unexpected_data;
        if (state != IdleState::usable) socket.reset();
    }
    if (extra) {  // The sidecar sent more than one answer to an earlier request.
        result.end = End::wrong;
        co_return result;
    }
    // If a reused connection closes before any byte of the answer, a request that may be repeated is sent
    // again on a new connection. Other requests are not, because the client can't know whether the sidecar
    // read them.
    for (int tries = 0; tries < 2; ++tries) {
        error_code failed;
        const bool reused = socket != nullptr;
        if (!reused) {
            socket = std::make_unique<Tcp::socket>(worker_.io());
            co_await socket->async_connect(application.address, into(failed));
            if (failed) {
                result.end = End::unreachable;
                co_return result;
            }
            socket->set_option(Tcp::no_delay(true), failed);
        }
        asio::steady_timer limit(worker_.io(), began + to_duration(request_class.timeout + kTimeoutMargin));
        const auto late = std::make_shared<bool>(false);
        limit.async_wait([late, at = socket.get()](error_code cancelled) {
            if (cancelled) return;
            *late = true;
            at->cancel(cancelled);
        });
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        co_await asio::async_write(*socket, asio::buffer(bytes), into(failed));
        if (!failed) co_await http::async_read(*socket, buffer, answer, into(failed));
        // The time-out handler holds a pointer to the socket, so it must have run or been cancelled before
        // the socket is destroyed.
        if (limit.cancel() == 0 && !*late) co_await asio::post(worker_.io(), asio::use_awaitable);
        result.latency = std::chrono::duration<Millis, std::milli>(steady_clock::now() - began).count();
        if (failed) {
            const bool closed_before_answer = reused && buffer.size() == 0 && !*late;
            socket.reset();
            result.end = *late ? End::timed_out : End::lost;
            if (closed_before_answer && request_class.effect == Idempotency::always) continue;
            co_return result;
        }
        if (answer.result() == http::status::ok) {
            std::istringstream body(answer.body());
            std::string id;
            body >> id >> result.server >> result.zone;
            result.end = id == result.id ? End::served : End::wrong;
        } else {
            const unsigned status = answer.result_int();
            result.end = status == 429 || status == 503 ? End::refused : End::failed;
        }
        if (answer.keep_alive() && buffer.size() == 0 && application.idle.size() < kMaxIdleConnections)
            application.idle.push_back(std::move(socket));
        co_return result;
    }
    co_return result;
}

}  // namespace mothring::lab
