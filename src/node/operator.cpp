#include "node/operator.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

#include "net/clock.hpp"
#include "net/http_message.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// A connection on which the head of the request is not complete by then is closed.
constexpr Millis kHeadTimeout = 5000;
/// The time that the client has to close its side after the response.
constexpr Millis kLingerTime = 300;
constexpr Millis kAcceptPause = 20;
constexpr std::uint32_t kHeadLimit = 4 * 1024;
constexpr std::size_t kDiscardSize = 512;

constexpr const char* kReadyPath = "/ready";
constexpr const char* kMetricsPath = "/metrics";

}  // namespace

/// A connection of a client: reads a request, answers it, and waits for the client to close its side.
class OperatorListener::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(OperatorListener& owner, net::Tcp::socket socket)
        : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
        parser_.header_limit(kHeadLimit);
    }

    void begin() {
        close_after(kHeadTimeout);
        http::async_read_header(socket_, buffer_, parser_,
                                [self = shared_from_this()](error_code failed, std::size_t) {
                                    if (self->owner_) self->on_request(failed);
                                });
    }
    /// Whether the head of the request has been read, or reading it has failed.
    bool has_request() const { return has_request_; }

    void close() {
        if (!owner_) return;
        OperatorListener* const owner = std::exchange(owner_, nullptr);
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        owner->connections_.remove(shared_from_this());
    }

private:
    void on_request(error_code failed) {
        has_request_ = true;
        if (!failed) return respond(http::status::ok);
        if (!net::is_malformed(failed)) return close();
        const bool is_too_large =
            failed == http::error::header_limit || failed == http::error::buffer_overflow;
        respond(is_too_large ? http::status::request_header_fields_too_large : http::status::bad_request);
    }

    void respond(http::status status) {
        response_.version(net::kHttpVersion);
        if (status == http::status::ok) status = handle_request();
        response_.result(status);
        if (status == http::status::method_not_allowed) response_.set(http::field::allow, "GET");
        if (response_.body().empty()) response_.body() = std::string(http::obsolete_reason(status)) + "\n";
        response_.keep_alive(false);
        response_.prepare_payload();
        http::async_write(socket_, response_, [self = shared_from_this()](error_code error, std::size_t) {
            if (!self->owner_) return;
            if (error) return self->close();
            // Closing a socket with unread bytes resets the connection, and the response could be lost.
            self->socket_.shutdown(net::Tcp::socket::shutdown_send, error);
            self->close_after(kLingerTime);
            self->discard();
        });
    }

    /// Obtains what the request asks for and sets the body of the response.
    http::status handle_request() {
        const auto target = parser_.get().target();
        const auto path = target.substr(0, target.find('?'));
        if (path != kReadyPath && path != kMetricsPath) return http::status::not_found;
        if (parser_.get().method() != http::verb::get) return http::status::method_not_allowed;
        if (path == kReadyPath)
            return owner_->callbacks_.ready() ? http::status::ok : http::status::service_unavailable;
        response_.set(http::field::content_type, "application/json");
        response_.body() = owner_->callbacks_.metrics();
        return http::status::ok;
    }

    void discard() {
        socket_.async_read_some(asio::buffer(discarded_),
                                [self = shared_from_this()](error_code failed, std::size_t) {
                                    if (failed) return self->close();
                                    if (self->owner_) self->discard();
                                });
    }

    void close_after(Millis length) {
        timer_.expires_after(net::to_duration(length));
        timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
            if (const auto self = weak.lock(); self && !cancelled) self->close();
        });
    }

    /// Null: the connection is closed.
    OperatorListener* owner_;
    net::Tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_{2 * kHeadLimit};
    http::request_parser<http::empty_body> parser_;
    http::response<http::string_body> response_;
    std::array<char, kDiscardSize> discarded_{};
    bool has_request_ = false;
};

OperatorListener::OperatorListener(asio::io_context& io, const net::Tcp::endpoint& listen,
                                   Callbacks callbacks)
    : io_(io),
      acceptor_(io, listen, true),
      callbacks_(std::move(callbacks)),
      accept_pacer_(io, kAcceptPause) {
    // Without this option Asio would skip an aborted connection and wait for the next one.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    acceptor_.non_blocking(true);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept();
}

OperatorListener::~OperatorListener() {
    while (!connections_.empty()) {
        const ConnectionPtr connection = connections_.front();
        connection->close();
    }
}

void OperatorListener::accept() {
    acceptor_.async_wait(net::Tcp::acceptor::wait_read, [this](error_code failed) {
        if (failed != asio::error::operation_aborted) accept_waiting();
    });
}

/// Accepts the next connection also if handling this one fails.
void OperatorListener::accept_waiting() {
    try {
        net::Tcp::socket socket(io_);
        error_code failed;
        acceptor_.accept(socket, failed);
        if (!failed)
            on_accepted(std::move(socket));
        else if (!net::is_transient(failed) && accept_pacer_.must_pause_after(failed))
            return accept_after_pause();
        accept();
    } catch (...) {  // such as std::bad_alloc
        accept_after_pause();
        throw;
    }
}

void OperatorListener::on_accepted(net::Tcp::socket socket) {
    accept_pacer_.on_success();
    close_surplus_connection();
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    const ConnectionPtr connection = connections_.back();
    connection->begin();
}

void OperatorListener::accept_after_pause() {
    accept_pacer_.pause([this] { accept(); });
}

/// At the limit, closes the oldest connection whose request is incomplete, or the oldest of all if there is
/// none.
void OperatorListener::close_surplus_connection() {
    if (connections_.size() < kMaxConnections) return;
    const auto waiting =
        std::find_if(connections_.begin(), connections_.end(),
                     [](const ConnectionPtr& connection) { return !connection->has_request(); });
    const ConnectionPtr closing = waiting == connections_.end() ? connections_.front() : *waiting;
    closing->close();
}

}  // namespace mothring::node
