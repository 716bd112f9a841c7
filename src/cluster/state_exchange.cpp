#include "cluster/state_exchange.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <exception>
#include <utility>

#include "net/address.hpp"
#include "net/clock.hpp"

namespace mothring::cluster {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kMostAnswered = 16;  // exchanges at a time
constexpr double kTimeLimitPeriods = 2;    // for one exchange
constexpr std::size_t kLengthSize = 4;     // bytes of the length before a message
constexpr unsigned kBitsPerByte = 8;

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// Closes the socket when the timer expires.
void close_on_expiry(asio::steady_timer& timer, const std::shared_ptr<Tcp::socket>& socket) {
    timer.async_wait([socket](error_code cancelled) {
        if (!cancelled) socket->close(cancelled);
    });
}

// The message behind its length, the most significant byte first.
Bytes framed(const Bytes& message) {
    Bytes frame;
    frame.reserve(kLengthSize + message.size());
    for (std::size_t left = kLengthSize; left > 0; --left)
        frame.push_back(static_cast<std::uint8_t>(message.size() >> ((left - 1) * kBitsPerByte)));
    frame.insert(frame.end(), message.begin(), message.end());
    return frame;
}

std::size_t read_length(const std::array<std::uint8_t, kLengthSize>& bytes) {
    std::size_t length = 0;
    for (const std::uint8_t byte : bytes) length = length << kBitsPerByte | byte;
    return length;
}

}  // namespace

StateExchange::StateExchange(const Inputs& inputs, Hooks hooks) : in_(inputs), hooks_(std::move(hooks)) {}

void StateExchange::start(const Self& self) {
    asio::co_spawn(self->in_.io, accept(self), asio::detached);
    if (!self->in_.settings.seeds.empty()) asio::co_spawn(self->in_.io, join(self), asio::detached);
}

void StateExchange::begin(const Self& self, const Tcp::endpoint& address) {
    asio::co_spawn(self->in_.io, call(self, address), [](const std::exception_ptr&, bool) {});
}

void StateExchange::close() {
    closed_ = true;
    error_code ignored;
    in_.acceptor.close(ignored);
}

// Calls every seed until it has answered once; from then on one of them now and then, so that parts of the
// fleet that found only themselves, or lost each other, meet again at a seed.
asio::awaitable<void> StateExchange::join(Self self) {
    const std::vector<Tcp::endpoint> seeds = self->other_seeds();
    std::deque<Tcp::endpoint> unanswered(seeds.begin(), seeds.end());
    asio::steady_timer wait(self->in_.io);
    error_code ignored;
    while (!self->closed_ && !seeds.empty()) {
        double periods = 1;
        co_await call_unanswered(self, unanswered);
        if (unanswered.empty()) {
            periods = self->in_.membership.sync_periods();
            unanswered.push_back(seeds[self->in_.random() % seeds.size()]);
        }
        wait.expires_after(net::to_duration(periods * self->in_.settings.parameters.period));
        co_await wait.async_wait(into(ignored));
    }
}

// Calls each once, and leaves those that did not answer.
asio::awaitable<void> StateExchange::call_unanswered(Self self, std::deque<Tcp::endpoint>& unanswered) {
    for (std::size_t left = unanswered.size(); left > 0; --left) {
        const Tcp::endpoint seed = unanswered.front();
        unanswered.pop_front();
        const bool answered = co_await call(self, seed);
        if (answered) continue;
        unanswered.push_back(seed);
        if (!self->closed_) self->hooks_.unanswered(seed);
    }
}

// Returns whether the other has answered.
asio::awaitable<bool> StateExchange::call(Self self, Tcp::endpoint address) {
    auto socket = std::make_shared<Tcp::socket>(self->in_.io);
    asio::steady_timer limit(self->in_.io, net::to_duration(self->time_limit()));
    close_on_expiry(limit, socket);
    error_code failed;
    co_await socket->async_connect(address, into(failed));
    if (failed || self->closed_) {
        ++self->in_.traffic.syncs_failed;
        co_return false;
    }
    co_await self->write(*socket, self->sync(false));
    const auto answer = co_await self->read(*socket);
    if (!answer) {
        ++self->in_.traffic.syncs_failed;
        co_return false;
    }
    ++self->in_.traffic.syncs;
    if (!answer->complete) co_return true;
    co_await self->write(*socket, self->sync(true));
    self->hooks_.received(*answer);
    co_return true;
}

asio::awaitable<void> StateExchange::accept(Self self) {
    asio::steady_timer pause(self->in_.io);
    while (!self->closed_) {
        error_code failed;
        auto socket = std::make_shared<Tcp::socket>(co_await self->in_.acceptor.async_accept(into(failed)));
        if (failed == asio::error::operation_aborted || self->closed_) co_return;
        if (failed && !self->accept_pace_.must_pause_after(failed)) continue;
        if (failed) {
            pause.expires_after(net::to_duration(self->in_.settings.parameters.period));
            co_await pause.async_wait(into(failed));
            continue;
        }
        self->accept_pace_.on_success();
        if (self->answering_ >= kMostAnswered) continue;
        asio::co_spawn(self->in_.io, answer(self, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> StateExchange::answer(Self self, std::shared_ptr<Tcp::socket> socket) {
    ++self->answering_;
    asio::steady_timer limit(self->in_.io, net::to_duration(self->time_limit()));
    close_on_expiry(limit, socket);
    const auto request = co_await self->read(*socket);
    if (request && !self->in_.membership.superseded()) {
        const bool is_equal = request->digest == self->in_.membership.digest();
        co_await self->write(*socket, self->sync(!is_equal));
        if (!is_equal) {
            const auto state = co_await self->read(*socket);
            if (state) self->hooks_.received(*state);
        }
    }
    --self->answering_;
}

asio::awaitable<void> StateExchange::write(Tcp::socket& socket, Sync sync) {
    const Bytes frame = framed(in_.codec.seal(std::move(sync)));
    in_.traffic.bytes_sent += frame.size();
    error_code failed;
    co_await asio::async_write(socket, asio::buffer(frame), into(failed));
}

// Returns nothing where the connection fails or the message is rejected.
asio::awaitable<std::optional<Sync>> StateExchange::read(Tcp::socket& socket) {
    error_code failed;
    std::array<std::uint8_t, kLengthSize> head{};
    co_await asio::async_read(socket, asio::buffer(head), into(failed));
    if (failed) co_return std::nullopt;
    const std::size_t length = read_length(head);
    if (length > Codec::kLongestSync) {
        in_.verifier.reject(Rejection::oversized, "tcp");
        co_return std::nullopt;
    }
    Bytes bytes(length);
    co_await asio::async_read(socket, asio::buffer(bytes), into(failed));
    if (failed) co_return std::nullopt;
    auto payload = in_.verifier.open(bytes, Codec::kLongestSync, "tcp", std::nullopt);
    if (!payload) co_return std::nullopt;
    auto* const sync = std::get_if<Sync>(&*payload);
    if (!sync) co_return std::nullopt;
    co_return std::move(*sync);
}

// The seeds but this member itself.
std::vector<Tcp::endpoint> StateExchange::other_seeds() const {
    std::vector<Tcp::endpoint> seeds;
    for (const Tcp::endpoint& seed : in_.settings.seeds)
        if (seed != in_.acceptor.local_endpoint() && net::format_endpoint(seed) != in_.membership.self().tcp)
            seeds.push_back(seed);
    return seeds;
}

Millis StateExchange::time_limit() const { return kTimeLimitPeriods * in_.settings.parameters.period; }

Sync StateExchange::sync(bool complete) const {
    Sync sync;
    sync.digest = in_.membership.digest();
    sync.complete = complete;
    if (complete) sync.claims = in_.membership.members();
    return sync;
}

}  // namespace mothring::cluster
