#include "node/discovery.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <optional>
#include <utility>

#include "net/clock.hpp"
#include "net/http_message.hpp"
#include "net/log.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// What a watch that has fallen silent misses counts as told 6 s after that, or 2 s past its hold if that is
// later (PROTOCOL, "Figures"). It may have done so right after its call, so with a hold of up to 4 s the list
// has to be here anew 6 s after the call: 1.5 s of hold, 0.5 s for its answer to be late by, and 4 s left for
// a whole fleet's calls, should all fall silent at once, as discovery handles new watches in turn. With a
// hold of 4 s or more 1.5 s would be left. The same 6 s hold after a call that failed in any other way, from
// when discovery can be reached: one that hung takes the 2 s, the next may begin up to 1.5 s later (the
// policy's longest wait), and has 2 s for its turn.
constexpr Millis kTold = 6000, kToldPastHold = 2000;
constexpr Millis kHold = 1500, kLate = 500;
static_assert(kHold + kToldPastHold <= kTold);
// After SIGHUP what discovery reports counts as told 4 s after the signal (TERMS, "Reconfiguration").
constexpr Millis kToldAfterMove = 4000;
constexpr Millis kFirstBackoff = 25, kLongestBackoff = 400;
constexpr std::size_t kListLimit = 8 * 1024 * 1024;

}  // namespace

// One connection to discovery, and the one call that is out on it.
class Discovery::Call : public std::enable_shared_from_this<Call> {
public:
    Call(asio::io_context& io, const net::Tcp::endpoint& address)
        : address_(address), socket_(io), timer_(io) {}

    using Done = std::function<void(const Answer& answer)>;
    // `late`: called once if there is no answer by then; the call stays out.
    void get(const std::string& target, Millis patience, Done done, std::function<void()> late) {
        done_ = std::move(done);
        since_ = Steady::now();
        net::log(spdlog::level::debug, "discovery.call",
                 {{"target", target}, {"connected", socket_.is_open()}});
        request_ = {http::verb::get, target, net::kHttpVersion};
        request_.set(http::field::host,
                     address_.address().to_string() + ":" + std::to_string(address_.port()));
        timer_.expires_after(net::to_duration(patience));
        timer_.async_wait([weak = weak_from_this(), late = std::move(late)](error_code cancelled) {
            if (const auto self = weak.lock(); self && !cancelled && self->done_) late();
        });
        if (socket_.is_open()) return write();
        socket_.async_connect(address_, [self = shared_from_this()](error_code failed) {
            if (failed) return self->unconnected(failed);
            net::log(spdlog::level::debug, "discovery.connected", {{"after_ms", self->age()}});
            error_code ignored;
            self->socket_.set_option(net::Tcp::no_delay(true), ignored);
            self->write();
        });
    }
    bool open() const { return socket_.is_open(); }
    bool out() const { return done_ != nullptr; }
    Steady::time_point since() const { return since_; }
    void close() {
        done_ = nullptr;
        drop();
    }

private:
    void write() {
        http::async_write(socket_, request_, [self = shared_from_this()](error_code failed, std::size_t) {
            if (failed) return self->end("not written: " + failed.message());
            self->read();
        });
    }
    // What is this machine's own want says nothing of discovery: it may be reachable, and the time until
    // what it has to tell counts as told runs on.
    void unconnected(error_code why) {
        end("not connected: " + why.message(),
            net::is_local_failure(why) ? ListFailure::broken : ListFailure::unreachable);
    }
    void read() {
        parser_.emplace();
        net::async_read_bounded(
            socket_, buffer_, *parser_, kListLimit, [self = shared_from_this()](error_code failed) {
                if (failed) return self->end("broken off: " + failed.message());
                const auto& answer = self->parser_->get();
                const bool succeeded = answer.result() == http::status::ok;
                self->end(succeeded ? "" : "status " + std::to_string(answer.result_int()),
                          ListFailure::rejected, retry_after(answer[http::field::retry_after]));
            });
    }
    // In seconds, whole or decimal; what can't be read is not there.
    static std::optional<Millis> retry_after(boost::beast::string_view seconds) {
        double value = 0;
        if (!net::parse_number(std::string_view(seconds.data(), seconds.size()), value) ||
            !std::isfinite(value) || value < 0)
            return std::nullopt;
        constexpr Millis kSecond = 1000;
        return value * kSecond;
    }
    void drop() {
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }
    // `why`: empty where there is an answer.
    void end(std::string why, ListFailure failure = ListFailure::broken,
             std::optional<Millis> retry_after = {}) {
        const Done done = std::exchange(done_, nullptr);
        if (!done) return;
        timer_.cancel();
        if (!why.empty() || !parser_->keep_alive()) drop();
        Answer answer;
        if (why.empty()) answer.body = std::move(parser_->get().body());
        net::log(spdlog::level::debug, "discovery.ended",
                 {{"after_ms", age()}, {"why", why}, {"bytes", answer.body ? answer.body->size() : 0}});
        answer.why = std::move(why);
        answer.failure = failure;
        answer.retry_after = retry_after;
        done(answer);
    }
    Millis age() const { return net::millis(Steady::now() - since_); }

    net::Tcp::endpoint address_;
    net::Tcp::socket socket_;
    asio::steady_timer timer_;
    http::request<http::empty_body> request_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    Done done_;
    Steady::time_point since_;  // of the call that is out
};

Discovery::Discovery(asio::io_context& io, const net::Tcp::endpoint& address, std::uint64_t version,
                     bool persistent, Millis drain_grace, Callbacks callbacks)
    : io_(io),
      address_(address),
      version_(version),
      persistent_(persistent),
      // Where lists are pushed, what the agent got while it could not be reached counts at once when it is
      // back: half of the grace to try again, the other half to be answered.
      longest_backoff_(std::clamp(drain_grace / 2, kFirstBackoff, kLongestBackoff)),
      callbacks_(std::move(callbacks)),
      timer_(io),
      backoff_(kFirstBackoff) {}

Discovery::~Discovery() {
    drop(watch_);
    drop(late_);
}

void Discovery::drop(std::shared_ptr<Call>& call) {
    if (call) call->close();
    call = nullptr;
}

void Discovery::watch(bool active) {
    if (active && watch_ && watch_->out()) return;
    active_ = active;
    timer_.cancel();
    if (active) return begin();
    drop(watch_);
    drop(late_);
}

Discovery::State Discovery::state() const {
    State state{version_, calls_, {}, {}, told_};
    if (answered_at_) state.age = net::millis(Steady::now() - *answered_at_);
    if (answered_before_) state.age_before = net::millis(Steady::now() - *answered_before_);
    return state;
}

void Discovery::begin() {
    ++calls_;
    if (!watch_ || !watch_->open()) watch_ = std::make_shared<Call>(io_, address_);
    std::string target = "/catalog/members";
    if (!whole_)
        target += "?from=" + std::to_string(version_) + "&hold_ms=" + std::to_string(static_cast<int>(kHold));
    watch_->get(
        target, kHold + kLate, [this, call = watch_.get()](const Answer& answer) { finished(*call, answer); },
        [this, call = watch_.get()] { overdue(*call); });
}

// It may have fallen silent, or be waiting its turn: the next is begun beside it, so that a mere delay costs
// nothing. Where that one is late too, it takes the place of the first.
void Discovery::overdue(const Call& call) {
    if (&call != watch_.get()) return;
    told_by(call.since() + net::to_duration(kTold));
    drop(late_);
    late_ = std::exchange(watch_, nullptr);
    failed("no answer in time", ListFailure::timed_out);
}

void Discovery::told_by(Steady::time_point at) { told_at_ = told_at_ ? std::min(*told_at_, at) : at; }

void Discovery::move(const net::Tcp::endpoint& address) {
    address_ = address;
    backoff_ = kFirstBackoff;
    if (!active_) return;
    told_by(Steady::now() + net::to_duration(kToldAfterMove));
    watch(false);
    watch(true);
}

void Discovery::finished(const Call& call, const Answer& answer) {
    const auto& [body, said, failure, retry_after] = answer;
    const bool late = &call == late_.get();
    const auto since = call.since();
    std::string why = said;
    std::optional<config::DiscoveryList> list;
    try {
        if (body) list = config::read_members(*body);
    } catch (const std::exception& error) {
        why = error.what();
    }
    // Older than what is held: that is kept, and the whole list asked for, whatever its version may be.
    if (list && !whole_ && list->version < version_) {
        why = "version " + std::to_string(list->version) + " after " + std::to_string(version_);
        list.reset();
        whole_ = !late;
    }
    if (late && !list) {  // the other goes on
        if (body) net::log(spdlog::level::warn, "discovery.ignored", {{"why", why}});
        return drop(late_);
    }
    if (late) {
        drop(watch_);
        timer_.cancel();
        watch_ = std::move(late_);
    } else if (list) {
        drop(late_);
    } else if (body) {
        drop(watch_);
    }
    if (!list) {
        // Whoever is refused knows that discovery can't be reached yet: the time begins after that.
        if (failure == ListFailure::unreachable)
            told_at_ = Steady::now() + net::to_duration(kTold);
        else
            told_by(since + net::to_duration(kTold));
        return failed(why, body ? ListFailure::broken : failure, retry_after);
    }
    backoff_ = kFirstBackoff;
    told_at_.reset();
    answered_before_ = std::exchange(answered_at_, Steady::now());
    version_ = list->version;
    whole_ = false;
    if (active_) begin();  // before anything else: the next watch is due
    const bool again = std::exchange(told_, false);
    if (again) net::log(spdlog::level::info, "discovery.answers", {{"version", version_}});
    if (list->full || !list->members.empty() || again) callbacks_.changed(*list);
}

void Discovery::failed(const std::string& why, ListFailure kind, std::optional<Millis> retry_after) {
    if (!std::exchange(told_, true)) net::log(spdlog::level::warn, "discovery.failed", {{"why", why}});
    if (!persistent_) return callbacks_.failed({kind, net::millis(*told_at_ - Steady::now()), retry_after});
    timer_.expires_after(net::to_duration(backoff_));
    backoff_ = std::min(2 * backoff_, longest_backoff_);
    timer_.async_wait([this](error_code cancelled) {
        if (!cancelled && active_) watch(true);
    });
}

}  // namespace mothring::node
