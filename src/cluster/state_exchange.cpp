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

constexpr std::size_t kMaxConcurrentAnswers = 16;  // exchanges answered at the same time
constexpr double kTimeLimitPeriods = 2;            // limit for one exchange, in periods
constexpr std::size_t kLengthBytes = 4;            // bytes of the length prefix of a message
constexpr unsigned kBitsPerByte = 8;

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// Closes the socket when the timer expires.
void close_on_expiry(asio::steady_timer& timer, const std::shared_ptr<Tcp::socket>& socket) {
    timer.async_wait([socket](error_code cancelled) {
        if (!cancelled) socket->close(cancelled);
    });
}

// Returns the message prefixed by its length in big-endian order.
Bytes framed(const Bytes& message) {
    Bytes frame;
    frame.reserve(kLengthBytes + message.size());
    for (std::size_t left = kLengthBytes; left > 0; --left)
        frame.push_back(static_cast<std::uint8_t>(message.size() >> ((left - 1) * kBitsPerByte)));
    frame.insert(frame.end(), message.begin(), message.end());
    return frame;
}

std::size_t read_length(const std::array<std::uint8_t, kLengthBytes>& bytes) {
    std::size_t length = 0;
    for (const std::uint8_t byte : bytes) length = length << kBitsPerByte | byte;
    return length;
}

}  // namespace

StateExchange::StateExchange(const Inputs& inputs, Hooks hooks) : inputs_(inputs), hooks_(std::move(hooks)) {}

void StateExchange::start(const Self& self) {
    asio::co_spawn(self->inputs_.io, accept(self), asio::detached);
    if (!self->inputs_.settings.seeds.empty()) asio::co_spawn(self->inputs_.io, join(self), asio::detached);
}

void StateExchange::begin(const Self& self, const Tcp::endpoint& address) {
    asio::co_spawn(self->inputs_.io, call(self, address), [](const std::exception_ptr&, bool) {});
}

void StateExchange::close() {
    closed_ = true;
    error_code ignored;
    inputs_.acceptor.close(ignored);
}

// Calls every seed until it has answered once. After that it calls a random seed once per synchronisation
// interval, so that partitions of the fleet that do not know each other merge through a seed.
asio::awaitable<void> StateExchange::join(Self self) {
    const std::vector<Tcp::endpoint> seeds = self->other_seeds();
    std::deque<Tcp::endpoint> unanswered(seeds.begin(), seeds.end());
    asio::steady_timer wait(self->inputs_.io);
    error_code ignored;
    while (!self->closed_ && !seeds.empty()) {
        double periods = 1;
        co_await call_unanswered(self, unanswered);
        if (unanswered.empty()) {
            periods = self->inputs_.membership.sync_periods();
            unanswered.push_back(seeds[self->inputs_.random() % seeds.size()]);
        }
        wait.expires_after(net::to_duration(periods * self->inputs_.settings.parameters.period));
        co_await wait.async_wait(into(ignored));
    }
}

// Calls each seed once, and keeps those that did not answer in the queue.
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

// Exchanges states with the member at `address`. Returns whether it has answered.
asio::awaitable<bool> StateExchange::call(Self self, Tcp::endpoint address) {
    auto socket = std::make_shared<Tcp::socket>(self->inputs_.io);
    asio::steady_timer limit(self->inputs_.io, net::to_duration(self->time_limit()));
    close_on_expiry(limit, socket);
    error_code failed;
    co_await socket->async_connect(address, into(failed));
    if (failed || self->closed_) {
        ++self->inputs_.traffic.syncs_failed;
        co_return false;
    }
    co_await self->write(*socket, self->sync(false));
    const auto answer = co_await self->read(*socket);
    if (!answer) {
        ++self->inputs_.traffic.syncs_failed;
        co_return false;
    }
    ++self->inputs_.traffic.syncs;
    if (!answer->complete) co_return true;
    co_await self->write(*socket, self->sync(true));
    self->hooks_.received(*answer);
    co_return true;
}

asio::awaitable<void> StateExchange::accept(Self self) {
    asio::steady_timer pause(self->inputs_.io);
    while (!self->closed_) {
        error_code failed;
        auto socket =
            std::make_shared<Tcp::socket>(co_await self->inputs_.acceptor.async_accept(into(failed)));
        if (failed == asio::error::operation_aborted || self->closed_) co_return;
        if (failed && !self->accept_pace_.must_pause_after(failed)) continue;
        if (failed) {
            pause.expires_after(net::to_duration(self->inputs_.settings.parameters.period));
            co_await pause.async_wait(into(failed));
            continue;
        }
        self->accept_pace_.on_success();
        if (self->answering_ >= kMaxConcurrentAnswers) continue;
        asio::co_spawn(self->inputs_.io, answer(self, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> StateExchange::answer(Self self, std::shared_ptr<Tcp::socket> socket) {
    ++self->answering_;
    asio::steady_timer limit(self->inputs_.io, net::to_duration(self->time_limit()));
    close_on_expiry(limit, socket);
    const auto request = co_await self->read(*socket);
    if (request && !self->inputs_.membership.superseded()) {
        const bool is_equal = request->digest == self->inputs_.membership.digest();
        co_await self->write(*socket, self->sync(!is_equal));
        if (!is_equal) {
            const auto state = co_await self->read(*socket);
            if (state) self->hooks_.received(*state);
        }
    }
    --self->answering_;
}

asio::awaitable<void> StateExchange::write(Tcp::socket& socket, Sync sync) {
    const Bytes frame = framed(inputs_.codec.seal(std::move(sync)));
    inputs_.traffic.bytes_sent += frame.size();
    error_code failed;
    co_await asio::async_write(socket, asio::buffer(frame), into(failed));
}

// Returns the message, or none if the connection fails or the message is rejected.
asio::awaitable<std::optional<Sync>> StateExchange::read(Tcp::socket& socket) {
    error_code failed;
    std::array<std::uint8_t, kLengthBytes> head{};
    co_await asio::async_read(socket, asio::buffer(head), into(failed));
    if (failed) co_return std::nullopt;
    const std::size_t length = read_length(head);
    if (length > Codec::kMaxSyncBytes) {
        inputs_.verifier.reject(Rejection::oversized, "tcp");
        co_return std::nullopt;
    }
    Bytes bytes(length);
    co_await asio::async_read(socket, asio::buffer(bytes), into(failed));
    if (failed) co_return std::nullopt;
    auto payload = inputs_.verifier.open(bytes, Codec::kMaxSyncBytes, "tcp", std::nullopt);
    if (!payload) co_return std::nullopt;
    auto* const sync = std::get_if<Sync>(&*payload);
    if (!sync) co_return std::nullopt;
    co_return std::move(*sync);
}

// Returns the seeds other than this member.
std::vector<Tcp::endpoint> StateExchange::other_seeds() const {
    std::vector<Tcp::endpoint> seeds;
    for (const Tcp::endpoint& seed : inputs_.settings.seeds)
        if (seed != inputs_.acceptor.local_endpoint() &&
            net::format_endpoint(seed) != inputs_.membership.self().tcp)
            seeds.push_back(seed);
    return seeds;
}

Millis StateExchange::time_limit() const { return kTimeLimitPeriods * inputs_.settings.parameters.period; }

Sync StateExchange::sync(bool complete) const {
    Sync sync;
    sync.digest = inputs_.membership.digest();
    sync.complete = complete;
    if (complete) sync.claims = inputs_.membership.members();
    return sync;
}

}  // namespace mothring::cluster
