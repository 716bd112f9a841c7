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

/// The platform requires that a change which a broken watch misses counts as notified 6 s after the watch
/// broke: from then on the sidecar has to act as if it knew the change. The same holds after any other failed
/// call. If discovery is unreachable, the 6 s begin when it can be reached again.
constexpr Millis kNotifiedAfter = 6000;
/// If a watch broke silently, the change counts as notified only 2 s after the end of the call's hold, if
/// that is later than the 6 s above.
constexpr Millis kNotifiedAfterHold = 2000;
/// For how long discovery holds a call open if the list does not change. The connection may break right after
/// the call was sent, so with a hold of up to 4 s the list has to arrive within 6 s of that call. These 6 s
/// are 1.5 s of hold, 0.5 s for a late response, and 4 s for the next call: if all watches of a fleet break
/// at once, discovery needs this time, as it handles new calls one after another. A hold of 4 s or more would
/// leave only 1.5 s for the next call.
constexpr Millis kHoldTime = 1500;
/// The delay after the end of the hold from which a response counts as late. A call that hangs thus takes 2 s
/// of the 6 s above. The next one may start up to 1.5 s later (the policy's longest wait), and discovery
/// still has 2 s to handle it.
constexpr Millis kResponseMargin = 500;
static_assert(kHoldTime + kNotifiedAfterHold <= kNotifiedAfter);
/// The platform requires that after SIGHUP the list of the new discovery counts as notified 4 s after the
/// signal.
constexpr Millis kNotifiedAfterMove = 4000;
constexpr Millis kInitialBackoff = 25;
constexpr Millis kMaxBackoff = 400;
constexpr std::size_t kMaxListBytes = 8 * 1024 * 1024;

}  // namespace

/// A connection to discovery with at most one call in flight.
class Discovery::Call : public std::enable_shared_from_this<Call> {
public:
    Call(asio::io_context& io, const net::Tcp::endpoint& address)
        : address_(address), socket_(io), timer_(io) {}

    using OnDone = std::function<void(const Result& result)>;

    /// Sends a GET request.
    /// @param on_done  called with the result, unless the call is closed before.
    /// @param on_late  called once if there is no response within the time-out; the call stays in flight.
    void get(const std::string& target, Millis timeout, OnDone on_done, std::function<void()> on_late) {
        on_done_ = std::move(on_done);
        started_at_ = Steady::now();
        net::log(spdlog::level::debug, "discovery.call",
                 {{"target", target}, {"connected", socket_.is_open()}});
        request_ = {http::verb::get, target, net::kHttpVersion};
        request_.set(http::field::host,
                     address_.address().to_string() + ":" + std::to_string(address_.port()));
        timer_.expires_after(net::to_duration(timeout));
        timer_.async_wait([weak = weak_from_this(), on_late = std::move(on_late)](error_code cancelled) {
            if (const auto self = weak.lock(); self && !cancelled && self->on_done_) on_late();
        });
        if (socket_.is_open()) return write();
        socket_.async_connect(address_, [self = shared_from_this()](error_code failed) {
            if (failed) return self->on_connect_failed(failed);
            net::log(spdlog::level::debug, "discovery.connected", {{"after_ms", self->age()}});
            error_code ignored;
            self->socket_.set_option(net::Tcp::no_delay(true), ignored);
            self->write();
        });
    }
    bool is_open() const { return socket_.is_open(); }
    bool is_in_flight() const { return on_done_ != nullptr; }
    Steady::time_point started_at() const { return started_at_; }
    void close() {
        on_done_ = nullptr;
        disconnect();
    }

private:
    void write() {
        http::async_write(socket_, request_, [self = shared_from_this()](error_code failed, std::size_t) {
            if (failed) return self->finish("request not sent: " + failed.message());
            self->read();
        });
    }
    /// A shortage of resources on this machine does not show that discovery is unreachable, so the time from
    /// which the missed changes count as notified stays as it is.
    void on_connect_failed(error_code error) {
        finish("cannot connect: " + error.message(),
               net::is_local_failure(error) ? ListFailure::broken : ListFailure::unreachable);
    }
    void read() {
        parser_.emplace();
        net::async_read_bounded(
            socket_, buffer_, *parser_, kMaxListBytes, [self = shared_from_this()](error_code failed) {
                if (failed)
                    return self->finish("connection broken off before the end of the response: " +
                                        failed.message());
                const auto& response = self->parser_->get();
                const bool succeeded = response.result() == http::status::ok;
                self->finish(succeeded ? "" : "status " + std::to_string(response.result_int()),
                             ListFailure::rejected, parse_retry_after(response[http::field::retry_after]));
            });
    }
    /// Converts a Retry-After header in seconds, with or without decimals. Absent: it is missing or
    /// malformed.
    static std::optional<Millis> parse_retry_after(boost::beast::string_view seconds) {
        double value = 0;
        if (!net::parse_number(std::string_view(seconds.data(), seconds.size()), value) ||
            !std::isfinite(value) || value < 0)
            return std::nullopt;
        constexpr Millis kSecond = 1000;
        return value * kSecond;
    }
    void disconnect() {
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }
    /// @param error  empty if there is a response.
    void finish(std::string error, ListFailure failure = ListFailure::broken,
                std::optional<Millis> retry_after = {}) {
        const OnDone on_done = std::exchange(on_done_, nullptr);
        if (!on_done) return;
        timer_.cancel();
        if (!error.empty() || !parser_->keep_alive()) disconnect();
        Result result;
        if (error.empty()) result.body = std::move(parser_->get().body());
        net::log(spdlog::level::debug, "discovery.ended",
                 {{"after_ms", age()}, {"why", error}, {"bytes", result.body ? result.body->size() : 0}});
        result.error = std::move(error);
        result.failure = failure;
        result.retry_after = retry_after;
        on_done(result);
    }
    Millis age() const { return net::millis(Steady::now() - started_at_); }

    net::Tcp::endpoint address_;
    net::Tcp::socket socket_;
    asio::steady_timer timer_;
    http::request<http::empty_body> request_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    OnDone on_done_;
    /// When the last call was started.
    Steady::time_point started_at_;
};

Discovery::Discovery(asio::io_context& io, const net::Tcp::endpoint& address, std::uint64_t version,
                     bool auto_retry, Millis drain_grace, Callbacks callbacks)
    : io_(io),
      address_(address),
      version_(version),
      auto_retry_(auto_retry),
      // If discovery gets its lists pushed, the changes that discovery received while it was unreachable
      // count as notified as soon as it can be reached again. Half of the grace is for the next retry, half
      // for its response.
      max_backoff_(std::clamp(drain_grace / 2, kInitialBackoff, kMaxBackoff)),
      callbacks_(std::move(callbacks)),
      timer_(io),
      backoff_(kInitialBackoff) {}

Discovery::~Discovery() {
    close(call_);
    close(late_call_);
}

void Discovery::close(std::shared_ptr<Call>& call) {
    if (call) call->close();
    call = nullptr;
}

void Discovery::watch(bool active) {
    if (active && call_ && call_->is_in_flight()) return;
    active_ = active;
    timer_.cancel();
    if (active) return start_call();
    close(call_);
    close(late_call_);
}

Discovery::State Discovery::state() const {
    State state{version_, call_count_, {}, {}, failing_};
    if (answered_at_) state.age = net::millis(Steady::now() - *answered_at_);
    if (previously_answered_at_) state.previous_age = net::millis(Steady::now() - *previously_answered_at_);
    return state;
}

void Discovery::start_call() {
    ++call_count_;
    if (!call_ || !call_->is_open()) call_ = std::make_shared<Call>(io_, address_);
    std::string target = "/catalog/members";
    if (!needs_full_list_)
        target +=
            "?from=" + std::to_string(version_) + "&hold_ms=" + std::to_string(static_cast<int>(kHoldTime));
    call_->get(
        target, kHoldTime + kResponseMargin,
        [this, call = call_.get()](const Result& result) { on_finished(*call, result); },
        [this, call = call_.get()] { on_late(*call); });
}

/// The connection may have broken silently, or discovery may only be slow. The next call is therefore sent
/// while the late one stays in flight, so that the response to either can be used. If the next call is late
/// as well, it replaces the first.
void Discovery::on_late(const Call& call) {
    if (&call != call_.get()) return;
    set_notified_by(call.started_at() + net::to_duration(kNotifiedAfter));
    close(late_call_);
    late_call_ = std::exchange(call_, nullptr);
    on_failed("no response within the time-out", ListFailure::timed_out);
}

void Discovery::set_notified_by(Steady::time_point at) {
    notified_at_ = notified_at_ ? std::min(*notified_at_, at) : at;
}

void Discovery::change_address(const net::Tcp::endpoint& address) {
    address_ = address;
    backoff_ = kInitialBackoff;
    if (!active_) return;
    set_notified_by(Steady::now() + net::to_duration(kNotifiedAfterMove));
    watch(false);
    watch(true);
}

void Discovery::on_finished(const Call& call, const Result& result) {
    const auto& [body, call_error, failure, retry_after] = result;
    const bool is_late = &call == late_call_.get();
    const auto started_at = call.started_at();
    std::string error = call_error;
    std::optional<config::DiscoveryList> list;
    try {
        if (body) list = config::read_members(*body);
    } catch (const std::exception& exception) {
        error = exception.what();
    }
    // The held list is kept if the response is older, and the next call asks for the full list of any
    // version.
    if (list && !needs_full_list_ && list->version < version_) {
        error = "list version " + std::to_string(list->version) + " is older than the held version " +
                std::to_string(version_);
        list.reset();
        needs_full_list_ = !is_late;
    }
    if (is_late && !list) {  // the newer call stays in flight
        if (body) net::log(spdlog::level::warn, "discovery.ignored", {{"why", error}});
        return close(late_call_);
    }
    if (is_late) {
        close(call_);
        timer_.cancel();
        call_ = std::move(late_call_);
    } else if (list) {
        close(late_call_);
    } else if (body) {
        close(call_);
    }
    if (!list) {
        // If the connection was refused, discovery is still unreachable, and the time begins after that.
        if (failure == ListFailure::unreachable)
            notified_at_ = Steady::now() + net::to_duration(kNotifiedAfter);
        else
            set_notified_by(started_at + net::to_duration(kNotifiedAfter));
        return on_failed(error, body ? ListFailure::broken : failure, retry_after);
    }
    backoff_ = kInitialBackoff;
    notified_at_.reset();
    previously_answered_at_ = std::exchange(answered_at_, Steady::now());
    version_ = list->version;
    needs_full_list_ = false;
    if (active_) start_call();  // first, as the list is not watched until then
    const bool has_recovered = std::exchange(failing_, false);
    if (has_recovered) net::log(spdlog::level::info, "discovery.answers", {{"version", version_}});
    if (list->full || !list->members.empty() || has_recovered) callbacks_.on_changed(*list);
}

void Discovery::on_failed(const std::string& error, ListFailure kind, std::optional<Millis> retry_after) {
    if (!std::exchange(failing_, true)) net::log(spdlog::level::warn, "discovery.failed", {{"why", error}});
    if (!auto_retry_)
        return callbacks_.on_failed({kind, net::millis(*notified_at_ - Steady::now()), retry_after});
    timer_.expires_after(net::to_duration(backoff_));
    backoff_ = std::min(2 * backoff_, max_backoff_);
    timer_.async_wait([this](error_code cancelled) {
        if (!cancelled && active_) watch(true);
    });
}

}  // namespace mothring::node
