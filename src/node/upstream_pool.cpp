#include "node/upstream_pool.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <utility>

#include "net/clock.hpp"
#include "net/http_message.hpp"
#include "net/log.hpp"
#include "net/message_writer.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Answers that are not HTTP come from a server in bulk: a line a second tells of them.
net::LogLimit& not_http_log() {
    static net::LogLimit limit(std::chrono::seconds(1));
    return limit;
}

// What an answer tells, by the protocol's table. An error without the proof may have run; a 4xx is the
// request's own, but for those that ask for another try.
template <class Message>
Outcome outcome_of(const Message& response) {
    const unsigned status = response.result_int();
    if (status == 200) return Outcome::completed;
    if (status / 100 == 4 && status != 408 && status != 429) return Outcome::invalid_request;
    const bool proof = (status == 503 || status == 504) && response["Not-Started"] == "1";
    return proof ? Outcome::overloaded : Outcome::failed;
}

// An answer that is passed on is given up when its server has been silent for the longest deadline.
constexpr Millis kSilence = 3000;
constexpr std::size_t kHeadPiece = 4 * 1024, kPiece = 16 * 1024;  // read at a time
constexpr int kTurns = 8;                                         // before the others have theirs

}  // namespace

// One connection: connecting, carrying an exchange, or idle. It waits to be readable, so that it learns of
// its end while idle, and reads an answer only while it carries an exchange and as far as there is room for
// it.
class UpstreamPool::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(UpstreamPool& owner, ServerId to, std::uint64_t in_life)
        : server(to),
          life(in_life),
          owner_(&owner),
          stats_(owner.stats_),
          socket_(owner.io_),
          timer_(owner.io_) {
        ++stats_->open;
    }
    ~Connection() { close(); }

    void connect(const net::Tcp::endpoint& address) {
        expire_after(owner_->limits_.connect_timeout);
        error_code error;
        if (socket_.open(address.protocol(), error)) {  // out of descriptors
            asio::post(socket_.get_executor(), [self = shared_from_this()] {
                if (self->exchange_) self->end(false, Outcome::not_sent, {});
            });
            return;
        }
        ++stats_->opened;
        socket_.async_connect(address, [self = shared_from_this()](error_code failed) {
            if (!failed && self->never_connected()) failed = asio::error::try_again;
            if (failed || !self->exchange_) return self->unconnected(failed);
            self->connected_ = true;
            self->expire_never();
            error_code ignored;
            self->socket_.non_blocking(true, ignored);
            self->socket_.set_option(net::Tcp::no_delay(true), ignored);
            self->wait_readable();
            // Much may have come between the choice and now.
            const auto request = self->exchange_->request;
            if (!request->may_begin || request->may_begin(request->message)) return self->write();
            if (self->exchange_) self->end(true, Outcome::not_sent, {});
        });
    }

    void carry(ExchangeId id, Request request, OnEnded done, OnResponseStarted begun) {
        exchange_.emplace(
            Exchange{id, std::make_shared<Request>(std::move(request)), std::move(done), std::move(begun)});
        if (connected_) {
            expire_never();
            write();
        }
    }

    void rest(Millis limit) {
        since_ = std::chrono::steady_clock::now();
        expire_after(limit);
        wait_readable();
    }
    // Nothing has come since it fell idle, not even its end, and it has not stood for too long.
    bool fresh(Millis limit) {
        char byte;
        error_code error;
        socket_.non_blocking(true, error);
        socket_.receive(asio::buffer(&byte, 1), net::Tcp::socket::message_peek, error);
        return error == asio::error::would_block &&
               std::chrono::steady_clock::now() - since_ < net::span(limit);
    }
    std::chrono::steady_clock::time_point idle_since() const { return since_; }

    bool begun() const { return begun_; }
    bool written() const { return written_; }
    // Whether the request has been written whole.
    bool stop() {
        const auto pipe = let_go();
        exchange_.reset();
        close();
        if (pipe) pipe->fail();
        return written_;
    }

    void close() {
        if (!owner_) return;
        --stats_->open;
        owner_->remove(*this);
        owner_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }

    const ServerId server;
    const std::uint64_t life;

private:
    struct Exchange {
        ExchangeId id;
        std::shared_ptr<Request> request;
        OnEnded done;
        OnResponseStarted begun;
    };
    using Parser = http::response_parser<http::buffer_body>;

    void expire_after(Millis length) {
        timer_.expires_after(net::span(length));
        timer_.async_wait([weak = weak_from_this(), due = timer_.expiry()](error_code cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self || self->timer_.expiry() != due || !self->owner_) return;
            if (!self->connected_)
                self->fail(false);
            else if (!self->exchange_)
                self->close();
            else if (self->streaming_)
                self->broke(asio::error::timed_out);
            else if (self->pipe_)
                self->begin_stream();
        });
    }
    void expire_never() { timer_.expires_at(asio::steady_timer::time_point::max()); }

    // ---- The request ----

    void write() {
        begun_ = true;
        written_ = last_ = false;
        const auto request = exchange_->request;
        auto& message = request->message;
        if (net::logs(spdlog::level::debug))
            net::log(spdlog::level::debug, "attempt.written",
                     {{"request", std::string(message["Request-Id"])}});
        if (!request->body || request->body->whole()) {
            const auto body = request->body ? request->body->unread() : std::string_view();
            message.body() = boost::beast::span<const char>(body.data(), body.size());
            message.prepare_payload();
            last_ = true;
            return write_out(net::write_step(message, net::Part::whole), 0);
        }
        if (request->body->length)
            message.content_length(*request->body->length);
        else
            message.chunked(true);
        request->body->on_more = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->pump();
        };
        write_out(net::write_step(message, net::Part::header), 0);
    }

    // Passes on what has come of the body; its last bytes go out with what ends it.
    void pump() {
        if (!owner_ || !exchange_ || writing_ || written_ || last_) return;
        net::BodyBuffer& body = *exchange_->request->body;
        const auto bytes = body.unread();
        // With a stated length its last byte goes out before its end is told.
        last_ = body.whole() || body.length == body.total();
        if (bytes.empty() && !last_) return;
        const asio::const_buffer out(bytes.data(), bytes.size());
        if (body.length)
            write_out(net::write_step(out), bytes.size());
        else if (bytes.empty())
            write_out(net::write_step(http::make_chunk_last()), 0);
        else if (!last_)
            write_out(net::write_step(http::make_chunk(out)), bytes.size());
        else
            write_out(
                net::write_step(boost::beast::buffers_cat(http::make_chunk(out), http::make_chunk_last())),
                bytes.size());
    }

    // What is to be done later, provided that the request is still the same one then.
    template <class Work>
    auto if_still_out(Work work) {
        return [self = shared_from_this(), request = exchange_->request, work = std::move(work)]() mutable {
            if (self->exchange_ && self->exchange_->request == request) work();
        };
    }

    // Takes `count` from the body when all of this has been written.
    void write_out(net::WriteStep step, std::size_t count) {
        writing_ = true;
        error_code failed;
        if (net::write_what_is_taken(step, socket_, failed)) return wrote(count);
        if (!net::is_to_be_repeated(failed))  // never from within start()
            return asio::post(socket_.get_executor(), if_still_out([this] { fail(false); }));
        auto go_on = if_still_out([this, step = std::move(step), count]() mutable {
            const auto& wanted = exchange_->request->still_wanted;
            if (!wanted || wanted()) write_out(std::move(step), count);
        });
        socket_.async_wait(net::Tcp::socket::wait_write,
                           [go_on = std::move(go_on)](error_code) mutable { go_on(); });
    }

    void wrote(std::size_t count) {
        writing_ = false;
        written_ = last_;
        const auto request = exchange_->request;
        if (written_ && request->attempt) ++stats_->attempts;
        if (count > 0) request->body->take(count);
        if (!written_ && request->body) pump();
    }

    // ---- Its answer ----

    void wait_readable() {
        if (waiting_ || !owner_) return;
        waiting_ = true;
        socket_.async_wait(net::Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
            self->waiting_ = false;
            if (!self->owner_) return;
            if (failed || !self->exchange_) return self->close();  // its end, or what nobody asked for
            self->feed();
        });
    }

    // Reads and parses as long as there is something to read and room for it.
    void feed() {
        const auto self = shared_from_this();
        for (int turns = 0;; ++turns) {
            if (!owner_ || !exchange_) return;
            if (pipe_ && pipe_->room() == 0) return full();
            if (buffer_.size() > 0) {
                if (!parse()) return;
                continue;
            }
            if (turns >= kTurns)  // the others' turn
                return asio::post(socket_.get_executor(), [self] { self->feed(); });
            if (!receive()) return;
        }
    }

    // Whether anything was read.
    bool receive() {
        error_code error;
        const std::size_t size = std::min(buffer_.max_size() - buffer_.size(), pipe_ ? kPiece : kHeadPiece);
        const std::size_t count = socket_.read_some(buffer_.prepare(size), error);
        if (net::is_to_be_repeated(error)) {
            wait_readable();
            return false;
        }
        if (error) return ended_by(error), false;
        buffer_.commit(count);
        if (streaming_) expire_after(kSilence);
        return true;
    }

    // The connection's end may be the answer's, where its head has said so.
    void ended_by(error_code error) {
        if (error != asio::error::eof || !parser_ || !parser_->is_header_done() || !parser_->need_eof() ||
            parser_->is_done())
            return broke(error);
        const bool said = http::token_list(parser_->get()[http::field::connection]).exists("close");
        if (parser_->get().result_int() == 200 && !said) return broke(error);
        error_code ignored;
        parser_->put_eof(ignored);
        answered();
    }

    // Hands the parser what has come; false: it needs more than that, or this was the end of it.
    bool parse() {
        if (!parser_) {
            parser_.emplace();
            parser_->header_limit(net::kHeaderLimit);
            parser_->body_limit(net::kLargestBody);
        }
        error_code error;
        std::size_t room = 0;
        auto& part = parser_->get().body();
        if (pipe_) {
            part.size = room = pipe_->room();
            part.data = pipe_->space();
            part.more = true;
        }
        const bool heading = !parser_->is_header_done();
        parser_->eager(!heading);
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (pipe_ && part.size < room) {
            pipe_->added(room - part.size);
            if (!owner_ || !exchange_) return false;
        }
        if (error == http::error::need_buffer) error = {};
        if (error == http::error::need_more) {
            if (buffer_.size() < buffer_.max_size()) return receive();
            error = http::error::header_limit;
        }
        if (error) return broke(error), false;
        if (heading && parser_->is_header_done() && !head_done()) return false;
        if (!parser_) return true;  // an interim answer
        if (parser_->is_done()) return answered(), false;
        const bool large =
            pipe_ && pipe_->length && *pipe_->length > net::BodyBuffer::kMost && pipe_->total() > 0;
        if (pipe_ && !streaming_ && (large || pipe_->full())) full();
        return exchange_.has_value();
    }

    bool head_done() {
        const unsigned status = parser_->get().result_int();
        if (status / 100 == 1) {  // the answer is yet to come
            parser_.reset();
            return true;
        }
        const auto length = parser_->content_length();
        if (length && *length > net::kLargestBody) return broke(http::error::body_limit), false;
        if (parser_->is_done()) return true;
        pipe_ = std::make_shared<net::BodyBuffer>(
            owner_->budget_, length ? std::optional<std::uint64_t>(*length) : std::nullopt);
        // How much there is to come is not known: after a while what there is goes on.
        if (!length && exchange_->begun) expire_after(owner_->limits_.gather);
        return true;
    }

    // No room: what is passed on waits for its reader; what was to be kept whole can't be.
    void full() {
        if (streaming_) return expire_never();
        if (parser_->get().result_int() != 200) return answered();  // its head tells enough
        if (!exchange_->begun) return broke(http::error::body_limit);
        begin_stream();
    }

    void begin_stream() {
        if (!exchange_->begun || parser_->get().result_int() != 200) return;
        if (pipe_->total() == 0) return expire_after(owner_->limits_.gather);
        streaming_ = true;
        expire_after(kSilence);
        pipe_->on_room = [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || !self->owner_ || self->waiting_) return;
            asio::post(self->socket_.get_executor(), [self] {
                if (!self->owner_ || self->waiting_ || !self->streaming_) return;
                self->expire_after(kSilence);
                self->feed();
            });
        };
        Head head(http::status::ok, 11);
        net::copy_end_to_end(head, parser_->get());
        exchange_->begun(std::move(head), pipe_);
    }

    void broke(error_code why) {
        if (net::malformed(why))
            not_http_log().log(spdlog::level::warn, "upstream.not_http", {{"why", why.message()}});
        // The proof that it never ran stands in the header.
        if (parser_ && parser_->is_header_done() && parser_->get().result_int() != 200) return answered();
        fail(written_);
    }

    void answered() {
        const bool keep = parser_->is_done() && parser_->keep_alive() && written_ && buffer_.size() == 0;
        Response response(parser_->get().result(), 11);
        const Outcome outcome = outcome_of(parser_->get());
        if (!streaming_) {
            net::copy_end_to_end(response, parser_->get());
            if (pipe_) response.body() = std::string(pipe_->unread());
        }
        end(keep, outcome, std::move(response));
    }

    // Asio takes EAGAIN for a connection that is on its way, and the first look at it for its success. A
    // connection that has been up, and ended, is shut down for reading too.
    bool never_connected() {
        const short events = net::events_now(socket_.native_handle(), POLLRDHUP);
        return (events & POLLHUP) != 0 && (events & POLLRDHUP) == 0;
    }

    // Only what is the server's counts against it.
    void unconnected(error_code why) {
        if (!exchange_ || !net::is_local_failure(why)) return fail(false);
        end(false, Outcome::not_sent, {});
    }

    void fail(bool may_have_run) {
        if (!exchange_) return close();
        end(false, may_have_run ? Outcome::connection_lost : Outcome::connect_failed, {});
    }

    // What it shares with others of its exchange; the answer that is passed on, if any, is to be ended.
    std::shared_ptr<net::BodyBuffer> let_go() {
        if (exchange_ && exchange_->request->body) exchange_->request->body->on_more = nullptr;
        const auto pipe = std::exchange(pipe_, nullptr);
        if (pipe) pipe->on_room = nullptr;
        parser_.reset();
        return std::exchange(streaming_, false) ? pipe : nullptr;
    }

    // Whoever reads the answer learns of its end last: it may end the client, and all that is its.
    void end(bool keep, Outcome outcome, Response response) {
        const auto self = shared_from_this();
        UpstreamPool* const owner = owner_;
        const auto pipe = let_go();
        Exchange exchange = std::move(*exchange_);
        exchange_.reset();
        buffer_.shrink_to_fit();
        begun_ = false;
        if (keep)
            owner->reuse(self);
        else
            close();
        owner->ended(exchange.id, exchange.done, outcome, std::move(response));
        if (pipe && outcome == Outcome::completed)
            pipe->finish();
        else if (pipe)
            pipe->fail();
    }

    UpstreamPool* owner_;  // none: closed
    const std::shared_ptr<Stats> stats_;
    net::Tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_{net::kHeaderLimit + kHeadPiece};
    std::optional<Parser> parser_;
    std::shared_ptr<net::BodyBuffer> pipe_;  // of the answer's body
    std::optional<Exchange> exchange_;
    std::chrono::steady_clock::time_point since_;
    bool connected_ = false, waiting_ = false, streaming_ = false, begun_ = false;
    bool writing_ = false, last_ = false, written_ = false;  // the request
};

UpstreamPool::UpstreamPool(asio::io_context& io, Limits limits, std::shared_ptr<net::BufferBudget> budget)
    : io_(io), limits_(limits), budget_(std::move(budget)) {}

UpstreamPool::~UpstreamPool() {
    for (auto& [id, server] : servers_) drop_idle(server);
    while (!exchanges_.empty()) cancel(exchanges_.begin()->first);
}

void UpstreamPool::set_server(ServerId id, const net::Tcp::endpoint& address, Millis started) {
    Server& server = servers_[id];
    if (server.life != 0 && server.address == address && server.started == started) return;
    drop_idle(server);
    server.address = address;
    server.started = started;
    server.life = next_life_++;
}

void UpstreamPool::forget_server(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return;
    drop_idle(at->second);
    servers_.erase(at);
}

void UpstreamPool::close_idle(ServerId id) {
    if (const auto at = servers_.find(id); at != servers_.end()) drop_idle(at->second);
}

void UpstreamPool::drop_idle(Server& server) {
    for (const ConnectionPtr& connection : std::exchange(server.idle, {})) connection->close();
}

UpstreamPool::ConnectionPtr UpstreamPool::take_idle(Server& server) {
    const auto rested = std::chrono::steady_clock::now() - net::span(limits_.rest);
    for (std::size_t i = server.idle.size(); i > 0;
         --i) {  // each closed one leaves the others in their order
        ConnectionPtr connection = server.idle[i - 1];
        if (connection->idle_since() > rested) continue;
        if (!connection->fresh(limits_.idle)) {
            connection->close();
            continue;
        }
        server.idle.erase(server.idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        return connection;
    }
    return nullptr;
}

// At the bound, the connection that has been idle longest makes room.
bool UpstreamPool::make_room() {
    if (stats_->open < limits_.connections) return true;
    ConnectionPtr oldest;
    for (const auto& [id, server] : servers_)
        if (!server.idle.empty() && (!oldest || server.idle.front()->idle_since() < oldest->idle_since()))
            oldest = server.idle.front();
    if (oldest) oldest->close();
    return oldest != nullptr;
}

void UpstreamPool::limit_connections(std::size_t connections) {
    limits_.connections = connections;
    while (stats_->open > limits_.connections && make_room()) {
    }
}

ExchangeId UpstreamPool::start(ServerId id, Request request, OnEnded done, OnResponseStarted begun) {
    const ExchangeId exchange = next_exchange_++;
    const auto server = servers_.find(id);
    ConnectionPtr connection = server == servers_.end() ? nullptr : take_idle(server->second);
    const bool fresh = !connection;
    if (fresh) {
        if (server == servers_.end() || !make_room()) {
            // Our own want of connections says nothing of the server.
            asio::post(io_, [done = std::move(done)] { done(Outcome::not_sent, {}); });
            return exchange;
        }
        connection = std::make_shared<Connection>(*this, id, server->second.life);
    }
    exchanges_[exchange] = connection;
    connection->carry(exchange, std::move(request), std::move(done), std::move(begun));
    if (fresh) connection->connect(server->second.address);
    return exchange;
}

bool UpstreamPool::cancel(ExchangeId id) {
    const auto at = exchanges_.find(id);
    if (at == exchanges_.end()) return false;
    const ConnectionPtr connection = at->second;
    exchanges_.erase(at);
    return connection->stop();
}

bool UpstreamPool::may_have_started(ExchangeId id) const {
    const auto at = exchanges_.find(id);
    return at != exchanges_.end() && at->second->begun();
}

bool UpstreamPool::is_written(ExchangeId id) const {
    const auto at = exchanges_.find(id);
    return at != exchanges_.end() && at->second->written();
}

void UpstreamPool::ended(ExchangeId exchange, const OnEnded& done, Outcome outcome, Response response) {
    exchanges_.erase(exchange);
    done(outcome, std::move(response));
}

void UpstreamPool::reuse(const ConnectionPtr& connection) {
    const auto server = servers_.find(connection->server);
    if (server == servers_.end() || server->second.life != connection->life) return connection->close();
    server->second.idle.push_back(connection);
    connection->rest(limits_.idle);
}

void UpstreamPool::remove(const Connection& connection) {
    const auto server = servers_.find(connection.server);
    if (server == servers_.end()) return;
    std::erase_if(server->second.idle, [&](const ConnectionPtr& c) { return c.get() == &connection; });
}

}  // namespace mothring::node
