#include "node/operator.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "net/clock.hpp"
#include "net/http_message.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr Millis kHeadTime = 5000;  // for a whole call; holders are told to go after it
constexpr Millis kLingerTime = 300;
constexpr Millis kAcceptAgain = 20;  // when no descriptor is to be had
constexpr std::uint32_t kHeadLimit = 4 * 1024;

}  // namespace

class OperatorListener::Call : public std::enable_shared_from_this<Call> {
public:
    Call(OperatorListener& owner, net::Tcp::socket socket)
        : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
        parser_.header_limit(kHeadLimit);
    }

    void begin() {
        close_after(kHeadTime);
        http::async_read_header(socket_, buffer_, parser_,
                                [self = shared_from_this()](error_code failed, std::size_t) {
                                    if (self->owner_) self->heard(failed);
                                });
    }
    bool whole() const { return whole_; }

    void close() {
        if (!owner_) return;
        OperatorListener* const owner = std::exchange(owner_, nullptr);
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        owner->calls_.remove(shared_from_this());
    }

private:
    void heard(error_code failed) {
        whole_ = true;
        if (!failed) return answer(http::status::ok);
        if (!net::malformed(failed)) return close();
        const bool large = failed == http::error::header_limit || failed == http::error::buffer_overflow;
        answer(large ? http::status::request_header_fields_too_large : http::status::bad_request);
    }

    void answer(http::status status) {
        response_.version(11);
        if (status == http::status::ok) status = call();
        response_.result(status);
        if (status == http::status::method_not_allowed) response_.set(http::field::allow, "GET");
        if (response_.body().empty()) response_.body() = std::string(http::obsolete_reason(status)) + "\n";
        response_.keep_alive(false);
        response_.prepare_payload();
        http::async_write(socket_, response_, [self = shared_from_this()](error_code error, std::size_t) {
            if (!self->owner_) return;
            if (error) return self->close();
            // Closing over unread bytes could take the answer with it.
            self->socket_.shutdown(net::Tcp::socket::shutdown_send, error);
            self->close_after(kLingerTime);
            self->discard();
        });
    }

    http::status call() {
        const auto target = parser_.get().target();
        const auto path = target.substr(0, target.find('?'));
        if (path != "/ready" && path != "/metrics") return http::status::not_found;
        if (parser_.get().method() != http::verb::get) return http::status::method_not_allowed;
        if (path == "/ready")
            return owner_->callbacks_.ready() ? http::status::ok : http::status::service_unavailable;
        response_.set(http::field::content_type, "application/json");
        response_.body() = owner_->callbacks_.metrics();
        return http::status::ok;
    }

    void discard() {
        socket_.async_read_some(asio::buffer(scrap_),
                                [self = shared_from_this()](error_code failed, std::size_t) {
                                    if (failed) return self->close();
                                    if (self->owner_) self->discard();
                                });
    }

    void close_after(Millis length) {
        timer_.expires_after(net::span(length));
        timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
            if (const auto self = weak.lock(); self && !cancelled) self->close();
        });
    }

    OperatorListener* owner_;  // none: closed
    net::Tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_{2 * kHeadLimit};
    http::request_parser<http::empty_body> parser_;
    http::response<http::string_body> response_;
    std::array<char, 512> scrap_{};
    bool whole_ = false;
};

OperatorListener::OperatorListener(asio::io_context& io, const net::Tcp::endpoint& listen,
                                   Callbacks callbacks)
    : io_(io), acceptor_(io, listen, true), callbacks_(std::move(callbacks)), timer_(io) {
    // Else Asio waits for the next connection where one has been aborted.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    acceptor_.non_blocking(true);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept();
}

OperatorListener::~OperatorListener() {
    while (!calls_.empty()) CallPtr(calls_.front())->close();
}

void OperatorListener::accept() {
    acceptor_.async_wait(net::Tcp::acceptor::wait_read, [this](error_code failed) {
        if (failed != asio::error::operation_aborted) accept_waiting();
    });
}

// The next one is accepted whatever this one leads to.
void OperatorListener::accept_waiting() {
    try {
        net::Tcp::socket socket(io_);
        error_code failed;
        acceptor_.accept(socket, failed);
        if (!failed)
            accepted(std::move(socket));
        else if (!net::is_to_be_repeated(failed) && accept_pace_.pauses_after(failed))
            return accept_after_pause();
        accept();
    } catch (...) {  // no memory, say
        accept_after_pause();
        throw;
    }
}

void OperatorListener::accepted(net::Tcp::socket socket) {
    accept_pace_.succeeded();
    make_room();
    calls_.push_back(std::make_shared<Call>(*this, std::move(socket)));
    CallPtr(calls_.back())->begin();
}

void OperatorListener::accept_after_pause() {
    timer_.expires_after(net::span(kAcceptAgain));
    timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) accept();
    });
}

// The longest holder without a whole call makes room; where all calls are whole, the longest here.
void OperatorListener::make_room() {
    if (calls_.size() < kCallers) return;
    const auto holder =
        std::find_if(calls_.begin(), calls_.end(), [](const CallPtr& call) { return !call->whole(); });
    CallPtr(holder == calls_.end() ? calls_.front() : *holder)->close();
}

}  // namespace mothring::node
