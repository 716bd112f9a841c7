#include "cluster/agent.hpp"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <random>
#include <span>
#include <stdexcept>

#include "cluster/freshness_challenges.hpp"
#include "net/address.hpp"
#include "net/socket_errors.hpp"

namespace mothring::cluster {

namespace asio = boost::asio;
using boost::system::error_code;
using net::endpoint_of;

namespace {

constexpr int kPortTries = 32;        // for a port that is free for both UDP and TCP
constexpr int kDrained = 256;         // datagrams read before what is due is judged
constexpr std::size_t kCalls = 16;    // exchanges answered at a time
constexpr Millis kReceiveAgain = 20;  // when nothing can be received
constexpr double kRateWindow = 10;    // periods

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

std::uint64_t new_life(Millis now) {
    return static_cast<std::uint64_t>(now) << 16 | (std::random_device{}() & 0xffff);
}

}  // namespace

class Agent::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, Settings settings, std::string name, std::string version, Callbacks callbacks,
         net::Clock clock)
        : io_(io),
          settings_(std::move(settings)),
          callbacks_(std::move(callbacks)),
          clock_(std::move(clock)),
          udp_(io),
          acceptor_(io),
          timer_(io),
          receive_again_(io),
          random_(std::random_device{}()),
          challenges_(settings_.parameters.period, [this] { return unpredictable_sequence(); }) {
        listen();
        Claim self;
        self.name = std::move(name);
        self.life = new_life(clock_.now());
        self.incarnation = static_cast<std::uint64_t>(clock_.now());
        self.udp = self.tcp = settings_.advertise.value_or(net::written(udp_.local_endpoint()));
        self.version = std::move(version);
        codec_.emplace(settings_.key, self.name, self.life);
        membership_.emplace(self, settings_.parameters, random_());
    }

    void begin() {
        receive();
        asio::co_spawn(io_, accept(shared_from_this()), asio::detached);
        if (!settings_.seeds.empty()) asio::co_spawn(io_, join(shared_from_this()), asio::detached);
        due();
    }
    void close() {
        closed_ = true;
        callbacks_ = {};  // whoever they call may be gone
        error_code ignored;
        udp_.close(ignored);
        acceptor_.close(ignored);
        timer_.cancel();
        receive_again_.cancel();
    }
    void leave() {
        Effects effects;
        membership_->leave(clock_.now(), effects);
        carry_out(effects);
    }
    Udp::endpoint address() const { return udp_.local_endpoint(); }
    Figures figures() const {
        Figures f = figures_;
        f.view = membership_->view();
        f.incarnation = membership_->self().incarnation;
        f.awareness = membership_->awareness();
        f.superseded = membership_->superseded();
        f.counters = membership_->counters();
        f.members = membership_->members();
        return f;
    }

private:
    void listen() {
        for (int tries = 1;; ++tries) {
            error_code failed;
            const Tcp::endpoint tcp(settings_.bind.address(), settings_.bind.port());
            acceptor_.open(tcp.protocol());
            acceptor_.set_option(asio::socket_base::reuse_address(true));
            acceptor_.bind(tcp);
            acceptor_.listen();
            const Udp::endpoint udp(settings_.bind.address(), acceptor_.local_endpoint().port());
            udp_.open(udp.protocol());
            udp_.bind(udp, failed);
            if (!failed) break;
            acceptor_.close();
            udp_.close();
            if (settings_.bind.port() != 0 || tries == kPortTries) throw boost::system::system_error(failed);
        }
        udp_.non_blocking(true);
        // Else Asio waits for the next connection where one has been aborted.
        acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    }

    // ---- Datagrams

    void receive() {
        udp_.async_wait(Udp::socket::wait_read, [self = shared_from_this()](error_code failed) {
            if (failed || self->closed_) return;
            const bool goes_on = self->drain();
            self->due();
            goes_on ? self->receive() : self->receive_later();
        });
    }
    void receive_later() {
        receive_again_.expires_after(net::span(kReceiveAgain));
        receive_again_.async_wait([self = shared_from_this()](error_code cancelled) {
            if (!cancelled && !self->closed_) self->receive();
        });
    }
    // Whether more can be received as soon as it comes.
    bool drain() {
        for (int i = 0; i < kDrained; ++i) {
            Udp::endpoint sender;
            error_code failed;
            const std::size_t size = udp_.receive_from(asio::buffer(buffer_), sender, 0, failed);
            if (failed == asio::error::would_block || failed == asio::error::try_again) return true;
            if (failed && receive_pace_.pauses_after(failed)) return false;
            if (failed) continue;
            receive_pace_.succeeded();
            receive_datagram({buffer_.data(), size}, sender);
        }
        return true;
    }
    void receive_datagram(std::span<const std::uint8_t> bytes, const Udp::endpoint& sender) {
        const std::string from = net::written(sender);
        const auto payload = open(bytes, Codec::kLongestDatagram, from, sender);
        if (!payload) return;
        const auto* const message = std::get_if<Message>(&*payload);
        if (!message) return reject(Rejection::malformed, from);
        Effects effects;
        membership_->receive(clock_.now(), *message, from, effects);
        carry_out(effects);
    }
    // What may be acted on. The rest is counted; a life that may be proven is challenged at the `sender`, or,
    // where that is not known, where its name is known to listen.
    std::optional<Payload> open(std::span<const std::uint8_t> bytes, std::size_t longest,
                                const std::string& from, const std::optional<Udp::endpoint>& sender) {
        auto opened = codec_->open(bytes, longest);
        if (auto* const payload = std::get_if<Payload>(&opened)) return std::move(*payload);
        if (const auto* const why = std::get_if<Rejection>(&opened)) {
            reject(*why, from);
            return std::nullopt;
        }
        auto& unproven = std::get<Unproven>(opened);
        if (!proves_its_life(unproven)) {
            reject(Rejection::replayed, from);
            challenge(unproven.from, sender);
            return std::nullopt;
        }
        codec_->take_life(unproven);
        return std::move(unproven.payload);
    }
    bool proves_its_life(const Unproven& unproven) {
        const auto* const message = std::get_if<Message>(&unproven.payload);
        return message && message->kind == Message::Kind::ack &&
               challenges_.answer(clock_.now(), unproven.from, message->sequence);
    }
    void challenge(const std::string& name, const std::optional<Udp::endpoint>& sender) {
        const std::string& self = membership_->self().name;
        if (is_silent() || name == self) return;
        const auto known = where({name, "", {}});
        const auto to = sender ? sender : known;
        if (!to) return;
        using Receiver = FreshnessChallenges::Receiver;
        const auto sequence = challenges_.issue(clock_.now(), name, net::written(*to),
                                                to == known ? Receiver::member : Receiver::stranger);
        if (sequence) send_datagram({Message::Kind::ping, *sequence, self, name, {}}, *to);
    }
    // From the system's own source, as no challenge may be foretold from earlier ones.
    std::uint64_t unpredictable_sequence() {
        return std::uniform_int_distribution<std::uint64_t>()(entropy_);
    }
    // One that has left, or whose name another process has, says nothing any more.
    bool is_silent() const { return membership_->superseded() || membership_->self().state == State::left; }
    void reject(Rejection why, const std::string& from) {
        ++figures_.rejected[static_cast<std::size_t>(why)];
        if (callbacks_.rejected) callbacks_.rejected(why, from);
    }

    // ---- Time

    void due() {
        const Millis now = clock_.now();
        if (membership_->next() <= now) {
            drain();  // before anything is judged: what has come in time counts
            Effects effects;
            membership_->tick(clock_.now(), effects);
            carry_out(effects);
        }
        if (now - rate_at_ >= kRateWindow * settings_.parameters.period) {
            if (rate_at_ > 0)
                figures_.bytes_sent_per_s =
                    static_cast<double>(figures_.bytes_sent - rate_bytes_) / (now - rate_at_) * 1000;
            rate_at_ = now;
            rate_bytes_ = figures_.bytes_sent;
        }
        timer_.expires_at(clock_.when(membership_->next()));
        timer_.async_wait([self = shared_from_this()](error_code cancelled) {
            if (!cancelled && !self->closed_) self->due();
        });
    }

    void carry_out(const Effects& effects) {
        for (const Effects::Send& send : effects.sends) {
            if (const auto to = where(send)) send_datagram(send.message, *to);
        }
        for (const Effects::Change& change : effects.changes)
            if (callbacks_.learnt) callbacks_.learnt(change);
        for (const std::string& name : effects.syncs)
            if (const auto to = sync_address(name))
                asio::co_spawn(io_, call(shared_from_this(), *to), [](const std::exception_ptr&, bool) {});
        if (effects.syncs.empty() && effects.changes.empty()) return;
        if (const View view = membership_->view();
            view.present() != told_present_ || view.quorum() != told_quorum_) {
            told_present_ = view.present();
            told_quorum_ = view.quorum();
            if (callbacks_.changed) callbacks_.changed(view);
        }
    }
    void send_datagram(const Message& message, const Udp::endpoint& to) {
        const Bytes bytes = codec_->seal(message);
        if (bytes.size() > Codec::kLongestDatagram) return;  // claims' room keeps it below
        error_code lost;                                     // as any datagram may be
        udp_.send_to(asio::buffer(bytes), to, 0, lost);
        figures_.bytes_sent += bytes.size();
        ++figures_.datagrams_sent;
    }
    std::optional<Udp::endpoint> where(const Effects::Send& send) const {
        if (!send.address.empty()) return endpoint_of<Udp::endpoint>(send.address);
        if (const auto route = settings_.routes.find(send.to);
            route != settings_.routes.end() && route->second.udp)
            return route->second.udp;
        const auto member = membership_->member(send.to);
        return member ? endpoint_of<Udp::endpoint>(member->udp) : std::nullopt;
    }
    std::optional<Tcp::endpoint> sync_address(const std::string& name) const {
        if (const auto route = settings_.routes.find(name);
            route != settings_.routes.end() && route->second.tcp)
            return route->second.tcp;
        const auto member = membership_->member(name);
        return member ? endpoint_of<Tcp::endpoint>(member->tcp) : std::nullopt;
    }

    // ---- Exchanges of the whole state. The caller tells its digest; where the other's is another, each
    // tells the other all it knows.

    using Self = std::shared_ptr<Impl>;

    // Every seed until it has answered once; from then on one of them now and then, so that parts of the
    // fleet that found only themselves, or lost each other, meet again at a seed.
    static asio::awaitable<void> join(Self self) {
        std::deque<Tcp::endpoint> unanswered;
        for (const Tcp::endpoint& seed : self->settings_.seeds)
            if (seed != self->acceptor_.local_endpoint() &&
                net::written(seed) != self->membership_->self().tcp)
                unanswered.push_back(seed);
        const std::vector<Tcp::endpoint> seeds(unanswered.begin(), unanswered.end());
        asio::steady_timer wait(self->io_);
        error_code ignored;
        while (!self->closed_ && !seeds.empty()) {
            double periods = 1;
            for (std::size_t left = unanswered.size(); left > 0; --left) {
                const Tcp::endpoint seed = unanswered.front();
                unanswered.pop_front();
                const bool answered = co_await call(self, seed);
                if (answered) continue;
                unanswered.push_back(seed);
                self->announce(seed);
            }
            if (unanswered.empty()) {
                periods = self->membership_->sync_periods();
                unanswered.push_back(seeds[self->random_() % seeds.size()]);
            }
            wait.expires_after(net::span(periods * self->settings_.parameters.period));
            co_await wait.async_wait(into(ignored));
        }
    }

    // A seed may not have answered because it takes this life for a recording. An exchange does not tell it
    // where to send a challenge: an empty datagram does, by the address that it comes from.
    void announce(const Tcp::endpoint& seed) {
        if (closed_ || is_silent()) return;
        const Udp::endpoint address(seed.address(), seed.port());
        send_datagram({Message::Kind::gossip, 0, membership_->self().name, "", {}}, address);
    }

    // Whether the other answered.
    static asio::awaitable<bool> call(Self self, Tcp::endpoint to) {
        auto socket = std::make_shared<Tcp::socket>(self->io_);
        asio::steady_timer limit(self->io_, net::span(2 * self->settings_.parameters.period));
        limit.async_wait([socket](error_code cancelled) {
            if (!cancelled) socket->close(cancelled);
        });
        error_code failed;
        co_await socket->async_connect(to, into(failed));
        if (failed || self->closed_) {
            ++self->figures_.syncs_failed;
            co_return false;
        }
        co_await self->write(*socket, self->sync(false));
        const auto answer = co_await self->read(*socket);
        if (!answer) {
            ++self->figures_.syncs_failed;
            co_return false;
        }
        ++self->figures_.syncs;
        if (!answer->whole) co_return true;
        co_await self->write(*socket, self->sync(true));
        self->merge(*answer);
        co_return true;
    }

    static asio::awaitable<void> accept(Self self) {
        asio::steady_timer pause(self->io_);
        while (!self->closed_) {
            error_code failed;
            auto socket = std::make_shared<Tcp::socket>(co_await self->acceptor_.async_accept(into(failed)));
            if (failed == asio::error::operation_aborted || self->closed_) co_return;
            if (failed && !self->accept_pace_.pauses_after(failed)) continue;
            if (failed) {
                pause.expires_after(net::span(self->settings_.parameters.period));
                co_await pause.async_wait(into(failed));
                continue;
            }
            self->accept_pace_.succeeded();
            if (self->calls_ >= kCalls) continue;
            asio::co_spawn(self->io_, answer(self, std::move(socket)), asio::detached);
        }
    }

    static asio::awaitable<void> answer(Self self, std::shared_ptr<Tcp::socket> socket) {
        ++self->calls_;
        asio::steady_timer limit(self->io_, net::span(2 * self->settings_.parameters.period));
        limit.async_wait([socket](error_code cancelled) {
            if (!cancelled) socket->close(cancelled);
        });
        if (const auto asked = co_await self->read(*socket); asked && !self->membership_->superseded()) {
            const bool same = asked->digest == self->membership_->digest();
            co_await self->write(*socket, self->sync(!same));
            if (!same)
                if (const auto told = co_await self->read(*socket)) self->merge(*told);
        }
        --self->calls_;
    }

    Sync sync(bool whole) const {
        Sync sync;
        sync.digest = membership_->digest();
        sync.whole = whole;
        if (whole) sync.claims = membership_->members();
        return sync;
    }
    void merge(const Sync& sync) {
        Effects effects;
        membership_->merge(clock_.now(), sync.claims, sync.from, effects);
        carry_out(effects);
        due();
    }
    // Four bytes of length, the greatest first, then the sealed payload.
    asio::awaitable<void> write(Tcp::socket& socket, Sync sync) {
        const Bytes sealed = codec_->seal(std::move(sync));
        Bytes bytes;
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<std::uint8_t>(sealed.size() >> shift));
        bytes.insert(bytes.end(), sealed.begin(), sealed.end());
        figures_.bytes_sent += bytes.size();
        error_code failed;
        co_await asio::async_write(socket, asio::buffer(bytes), into(failed));
    }
    asio::awaitable<std::optional<Sync>> read(Tcp::socket& socket) {
        error_code failed;
        std::array<std::uint8_t, 4> head{};
        co_await asio::async_read(socket, asio::buffer(head), into(failed));
        if (failed) co_return std::nullopt;
        std::size_t size = 0;
        for (const std::uint8_t byte : head) size = size << 8 | byte;
        if (size > Codec::kLongestSync) {
            reject(Rejection::oversized, "tcp");
            co_return std::nullopt;
        }
        Bytes bytes(size);
        co_await asio::async_read(socket, asio::buffer(bytes), into(failed));
        if (failed) co_return std::nullopt;
        auto payload = open(bytes, Codec::kLongestSync, "tcp", std::nullopt);
        if (!payload) co_return std::nullopt;
        auto* const sync = std::get_if<Sync>(&*payload);
        if (!sync) co_return std::nullopt;
        co_return std::move(*sync);
    }

    asio::io_context& io_;
    Settings settings_;
    Callbacks callbacks_;
    net::Clock clock_;
    Udp::socket udp_;
    Tcp::acceptor acceptor_;
    asio::steady_timer timer_, receive_again_;
    net::FailurePace receive_pace_, accept_pace_;
    std::mt19937_64 random_;
    std::random_device entropy_;
    FreshnessChallenges challenges_;
    std::optional<Codec> codec_;
    std::optional<Membership> membership_;
    std::array<std::uint8_t, Codec::kLongestDatagram + 1> buffer_{};
    Figures figures_;
    std::size_t calls_ = 0;
    std::size_t told_present_ = 0;
    bool told_quorum_ = false, closed_ = false;
    Millis rate_at_ = 0;
    std::uint64_t rate_bytes_ = 0;
};

Agent::Agent(asio::io_context& io, Settings settings, std::string name, std::string version,
             Callbacks callbacks, net::Clock clock)
    : impl_(std::make_shared<Impl>(io, std::move(settings), std::move(name), std::move(version),
                                   std::move(callbacks), std::move(clock))) {
    impl_->begin();
}
Agent::~Agent() { impl_->close(); }
void Agent::leave() { impl_->leave(); }
Udp::endpoint Agent::address() const { return impl_->address(); }
Figures Agent::figures() const { return impl_->figures(); }

}  // namespace mothring::cluster
