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

constexpr Millis kGrace = 50;  // PROTOCOL, "The rules on sockets": every limit is 50 ms longer
constexpr std::size_t kIdle = 64;

std::string hex(std::uint64_t value) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

// Nothing waits to be read on it: neither its end nor more than the answer that was due.
enum class Idle { sound, ended, talking };
Idle state_of(Tcp::socket& socket) {
    char byte;
    const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size > 0 ? Idle::talking : size == 0 ? Idle::ended : errno == EAGAIN ? Idle::sound : Idle::ended;
}

}  // namespace

Clients::Clients(std::vector<ClientClass> classes, double rate, std::uint64_t seed)
    : classes_(std::move(classes)), rate_(rate), random_(seed) {}
Clients::~Clients() { worker_.stop(); }

void Clients::add(const std::string& sidecar, const std::string& zone, const Tcp::endpoint& address) {
    worker_.call([&] {
        Side& side = sides_[sidecar];
        side.name = sidecar;
        side.zone = zone;
        side.number = sides_.size();
        side.address = address;
    });
}

void Clients::start() {
    worker_.call([&] {
        start_ = steady_clock::now();
        running_ = started_ = true;
        for (auto& [name, side] : sides_) worker_.spawn(arrivals(side));
    });
}
void Clients::stop() {
    worker_.call([&] { running_ = false; });
}
void Clients::set_rate(double rate) {
    worker_.call([&] { rate_ = rate; });
}
std::size_t Clients::out() {
    return worker_.call([&] { return out_; });
}
std::map<std::string, ClientTally> Clients::tallies() {
    return worker_.call([&] {
        std::map<std::string, ClientTally> tallies;
        for (const auto& [name, side] : sides_) tallies[name] = side.tally;
        return tallies;
    });
}

std::future<Clients::Result> Clients::ask(const std::string& sidecar, std::size_t class_index,
                                          const std::string& key) {
    const auto told = std::make_shared<std::promise<Result>>();
    worker_.call([&] { worker_.spawn(request(sides_.at(sidecar), class_index, key, told)); });
    return told->get_future();
}

Millis Clients::elapsed() const {
    return std::chrono::duration<Millis, std::milli>(steady_clock::now() - start_).count();
}

std::size_t Clients::draw() {
    double sum = 0;
    for (const ClientClass& kind : classes_) sum += kind.share;
    double at = std::uniform_real_distribution<double>(0, sum)(random_);
    for (std::size_t i = 0; i + 1 < classes_.size(); ++i)
        if ((at -= classes_[i].share) < 0) return i;
    return classes_.size() - 1;
}

Task Clients::arrivals(Side& side) {
    asio::steady_timer timer(worker_.io());
    error_code ignored;
    auto next = steady_clock::now();
    while (running_) {
        // Open loop: the next arrival does not wait for this one's answer, nor for a late timer.
        next += to_duration(1000 * std::exponential_distribution(std::max(rate_, 1e-6))(random_));
        timer.expires_at(next);
        co_await timer.async_wait(into(ignored));
        if (running_) worker_.spawn(request(side, draw(), "", nullptr));
    }
}

Task Clients::request(Side& side, std::size_t class_index, std::string key,
                      std::shared_ptr<std::promise<Result>> told) {
    ++out_;
    const ClientClass& kind = classes_.at(class_index);
    const Millis sent = started_ ? elapsed() : 0;
    Result result = co_await exchange(side, kind, std::move(key));
    --out_;
    if (started_) count(side, result, kind, sent);
    if (told) told->set_value(std::move(result));
}

void Clients::count(Side& side, const Result& result, const ClientClass& kind, Millis sent) {
    const auto second = static_cast<std::size_t>(sent / 1000);
    if (second >= side.tally.seconds.size()) side.tally.seconds.resize(second + 1);
    for (Tally* tally : {&side.tally.all, &side.tally.seconds[second]}) {
        ++(*tally)[result.end];
        if (result.end != End::served) continue;
        tally->latency.record(result.latency * 1000);
        tally->on_time += result.latency <= kind.on_time;
        tally->crossed += result.zone != side.zone;
    }
}

asio::awaitable<Clients::Result> Clients::exchange(Side& side, const ClientClass& kind, std::string key) {
    Result result;
    result.id = hex(side.number << 48 | next_id_++);
    std::ostringstream text;
    text << (kind.effect == Idempotency::always ? "GET /" : "POST /") << kind.name
         << " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " << result.id << "\r\nRequest-Class: " << kind.name
         << "\r\nRequest-Timeout-Ms: " << static_cast<int>(kind.timeout) << "\r\n";
    if (!key.empty()) text << "Scan-Key: " << key << "\r\n";
    if (kind.effect == Idempotency::with_key) text << "Idempotency-Key: key-" << result.id << "\r\n";
    if (kind.effect != Idempotency::always)
        text << "Content-Length: 4\r\n\r\nscan";
    else
        text << "\r\n";
    const std::string bytes = text.str();
    const auto began = steady_clock::now();
    std::unique_ptr<Tcp::socket> socket;
    bool extra = false;
    while (!socket && !side.idle.empty()) {
        socket = std::move(side.idle.back());
        side.idle.pop_back();
        const Idle state = state_of(*socket);
        extra |= state == Idle::talking;
        if (state != Idle::sound) socket.reset();
    }
    if (extra) {  // more than one answer to an earlier request
        result.end = End::wrong;
        co_return result;
    }
    // Once more on a new connection where a kept one ended unread; only what may be repeated, as the other
    // side's reading can't be seen.
    for (int tries = 0; tries < 2; ++tries) {
        error_code failed;
        const bool reused = socket != nullptr;
        if (!reused) {
            socket = std::make_unique<Tcp::socket>(worker_.io());
            co_await socket->async_connect(side.address, into(failed));
            if (failed) {
                result.end = End::unreachable;
                co_return result;
            }
            socket->set_option(Tcp::no_delay(true), failed);
        }
        asio::steady_timer limit(worker_.io(), began + to_duration(kind.timeout + kGrace));
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
        // The handler holds a pointer to the socket: it has run, or is called off, before that goes.
        if (limit.cancel() == 0 && !*late) co_await asio::post(worker_.io(), asio::use_awaitable);
        result.latency = std::chrono::duration<Millis, std::milli>(steady_clock::now() - began).count();
        if (failed) {
            const bool unread = reused && buffer.size() == 0 && !*late;
            socket.reset();
            result.end = *late ? End::timed_out : End::lost;
            if (unread && kind.effect == Idempotency::always) continue;
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
        if (answer.keep_alive() && buffer.size() == 0 && side.idle.size() < kIdle)
            side.idle.push_back(std::move(socket));
        co_return result;
    }
    co_return result;
}

}  // namespace mothring::lab
