#include "node/downstream_listener.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "config/site.hpp"
#include "net/clock.hpp"
#include "net/http_message.hpp"
#include "net/message_writer.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr Millis kAcceptPause = 20;     // when no descriptor is to be had
constexpr Millis kFirstRequest = 2400;  // of a small request, the first one from connecting on
constexpr Millis kPause = 700;          // within a larger body
constexpr double kSlowestPace = 32;     // bytes in a millisecond, of a body
constexpr Millis kStillReader = 10000;  // an answer of which no more is read is ended
constexpr Millis kLinger = 300, kLongestLinger = 3000;  // for a client's end, after ours
constexpr Millis kMayClose = 2000;                      // clients expect no connection to be kept for longer
constexpr std::size_t kSparePart = 16;                  // of the bound on clients, for those on their way out
constexpr std::size_t kHeadPiece = 2 * 1024, kPiece = 16 * 1024;  // read at a time
constexpr int kTurns = 8;                                         // before the others have theirs
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

using Steady = std::chrono::steady_clock;

bool is_line_end(const boost::beast::flat_buffer& buffer) {
    const char first = *static_cast<const char*>(buffer.data().data());
    return first == '\r' || first == '\n';
}

// New connections go to the second of the sockets that share the address: the one that listened last, as the
// first one's leaving makes it the first again. Where there is no second, or no steering, the kernel spreads
// them by itself.
void steer(int listener) {
    sock_filter second[] = {BPF_STMT(BPF_RET | BPF_K, 1)};
    const sock_fprog program{1, second};
    ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program);
}

// Whether any of these has come, without waiting for it.
template <class Socket>
bool look(Socket& socket, short events) {
    return (net::events_now(socket.native_handle(), events) & events) != 0;
}

std::string text(boost::beast::string_view view) { return {view.data(), view.size()}; }

DownstreamListener::Response plain(http::status status) {
    DownstreamListener::Response answer(status, 11);
    answer.body() = text(http::obsolete_reason(status));
    answer.set(http::field::content_type, "text/plain");
    return answer;
}

// The first part of the path.
std::string first_part(boost::beast::string_view target) {
    target.remove_prefix(target.starts_with('/') ? 1 : 0);
    return text(target.substr(0, target.find_first_of("/?")));
}

// None: not a request as the protocol words it.
std::optional<DownstreamListener::IncomingRequest> read_arrival(
    const DownstreamListener::RequestHead& message) {
    DownstreamListener::IncomingRequest arrival;
    const std::string timeout = text(message["Request-Timeout-Ms"]), hint = text(message["Work-Hint"]);
    if (message["Request-Id"].empty() || message.count("Request-Id") > 1 ||
        !net::parse_number(timeout, arrival.time_left) || !(arrival.time_left >= 0) ||
        arrival.time_left > 1e7)
        return std::nullopt;
    if (net::parse_number(hint, arrival.effort)) arrival.effort /= 1000;  // microseconds
    if (!(arrival.effort >= 0 && arrival.effort < 1e7)) arrival.effort = 0;
    arrival.class_name = first_part(message.target());
    const std::string named = text(message["Request-Class"]);
    if (!named.empty() && named != arrival.class_name) return std::nullopt;
    arrival.tenant = text(message["Tenant"]);
    arrival.is_retry = message["Client-Retry"] == "1";
    return arrival;
}

}  // namespace

// One connection of the application: idle, sending a request, waiting for its answer, or being answered. What
// comes is read only as there is room for it, and parsed by Beast.
class DownstreamListener::Client : public std::enable_shared_from_this<Client> {
public:
    Client(DownstreamListener& owner, net::Tcp::socket socket)
        : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
        error_code ignored;
        socket_.set_option(net::Tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
    }

    // What has sent no whole request by then is ended: peers that come to send nothing, or little.
    void begin() {
        first_by_ = Steady::now() + net::span(kFirstRequest);
        since_ = Steady::now();
        close_at(*first_by_);
        wait_readable();
    }

    // Nothing has come that we have not seen yet, but perhaps its end.
    bool quiet() {
        const error_code error = peek();
        return error == asio::error::would_block || error == asio::error::eof;
    }
    // Its end has come, be there bytes before it or not: a look at the bytes alone would not see it.
    bool left() { return look(socket_, POLLRDHUP | POLLHUP | POLLERR); }
    // Idle, with nothing of a request come.
    bool idle() { return phase_ == Phase::idle && buffer_.size() == 0 && quiet(); }
    // How soon it makes room for others where there is none: those that have sent nothing yet, those idle for
    // as long as they may expect, those that have stopped within a head, then the other idle ones; never one
    // that is owed an answer.
    static constexpr int kNeeded = 4;
    bool finishing() const { return phase_ == Phase::finishing; }
    int use() const {
        if (phase_ == Phase::idle)
            return first_by_ ? 0 : Steady::now() - since_ >= net::span(kMayClose) ? 1 : 3;
        return phase_ == Phase::head ? 2 : kNeeded;
    }
    Steady::time_point since() const { return since_; }
    // For how long what was or will be read next may have stood here.
    Millis unread_for() const { return unread_since_ ? net::millis(Steady::now() - *unread_since_) : 0; }

    // Makes room. One that has been served may not have read all of its last answer, which a reset would take
    // away; one that has not been is ended at once.
    void yield() { first_by_ || phase_ != Phase::idle ? close() : finish(kLinger); }

    // At its end, in order: closing over unread bytes would reset the connection and could take the answer
    // with it. Ours goes first, and what comes after that is not sent on; the client's is awaited for a
    // while, longer where it goes on sending.
    void finish(Millis longest) {
        phase_ = Phase::finishing;
        error_code ignored;
        socket_.shutdown(net::Tcp::socket::shutdown_send, ignored);
        finish_by_ = Steady::now() + net::span(longest);
        close_at(Steady::now() + net::span(kLinger));
        discard();
    }

    void last_call() {
        if (called_) return;
        if (phase_ == Phase::idle || phase_ == Phase::head || receiving()) feed();
        if (!owner_ || phase_ == Phase::finishing) return;
        called_ = true;
        if (phase_ != Phase::answering) turn_away();
    }

    void answer(Response answer) {
        phase_ = Phase::answering;
        answer.version(11);
        answer.keep_alive(stays());
        answer.prepare_payload();
        const auto out = std::make_shared<Response>(std::move(answer));
        write_out(net::write_step(*out, net::Part::whole),
                  [this, out](bool whole) { answered(whole, out->keep_alive()); });
    }

    void stream(ResponseHead head, std::shared_ptr<net::BodyBuffer> body) {
        phase_ = Phase::answering;
        pipe_ = std::move(body);
        // Where the head can't tell the length, the end of the connection has to, and a reset that it broke.
        until_close_ = !pipe_->length && version_ < 11;
        head.version(11);
        if (pipe_->length)
            head.content_length(*pipe_->length);
        else if (!until_close_)
            head.chunked(true);  // would take a length away
        keep_ = keep_ && !until_close_;
        head.keep_alive(stays());
        stays_ = head.keep_alive();
        // What the kernel holds of it is bounded too, so that a slow reader's progress shows.
        error_code ignored;
        if (until_close_) reset_at_end(true);
        socket_.set_option(asio::socket_base::send_buffer_size(static_cast<int>(net::BodyBuffer::kMost)),
                           ignored);
        const auto out = std::make_shared<http::response<http::empty_body>>(std::move(head));
        writing_ = true;
        progress();
        write_out(net::write_step(*out, net::Part::header), [this, out](bool whole) { wrote(whole, 0); });
        pipe_->on_more = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->guarded([&] { self->pump(); });
        };
    }

    // An exception (no memory, say) must not leave a client waiting in vain: it sees its connection's end.
    template <class Work>
    void guarded(Work&& work) {
        const auto self = shared_from_this();
        try {
            work();
        } catch (...) {
            close();
            throw;
        }
    }

    void close() {
        if (!owner_) return;
        DownstreamListener* const owner = std::exchange(owner_, nullptr);
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        const bool held = id_ != 0 && (phase_ != Phase::answering || pipe_);
        if (body_) body_->on_room = nullptr;
        if (const auto pipe = std::exchange(pipe_, nullptr)) pipe->on_more = nullptr;
        if (held) {
            owner->held_.erase(id_);
            owner->callbacks_.on_client_disconnected(id_);
        }
        leave(*owner, false);
        owner->closed(shared_from_this());
    }

private:
    enum class Phase { idle, head, body, waiting, answering, finishing };

    // A drain ends it with the answer to the last request that was read. After the last call nothing more is.
    bool stays() { return keep_ && !receiving() && (!owner_->draining_ || more_came()); }
    bool more_came() { return buffer_.size() > 0 || (!called_ && !quiet()); }
    // What reading one byte would give; it stays where it is.
    error_code peek() {
        char byte;
        return net::repeated_while_interrupted([&](error_code& error) {
            socket_.receive(asio::buffer(&byte, 1), net::Tcp::socket::message_peek, error);
        });
    }
    // Whether a request's body is yet to come.
    bool receiving() const { return body_ && !body_->whole(); }

    // One wait at a time: for a request while idle, for the rest of it, for the client's end while it waits.
    void wait_readable() {
        if (waiting_) return;
        waiting_ = true;
        socket_.async_wait(net::Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
            self->waiting_ = false;
            if (!self->owner_) return;
            if (failed) return self->close();
            self->guarded([&] { self->readable(); });
        });
    }

    void readable() {
        if (phase_ == Phase::finishing) return;  // discards by itself
        if (phase_ == Phase::idle || phase_ == Phase::head || receiving()) return feed();
        // The next request, early, stays where it is until this one has its answer.
        const error_code error = peek();
        if (net::is_to_be_repeated(error))
            wait_readable();
        else if (!error)
            stands_unread();
        else if (phase_ != Phase::answering)
            close();
    }

    // Of the last call: what is not here whole.
    void turn_away() {
        if (phase_ == Phase::idle) return finish(kLinger);
        if (id_ == 0 || receiving()) reject(http::status::service_unavailable);
    }

    // Reads and parses as long as there is something to read and room for it.
    void feed() {
        for (int turns = 0;; ++turns) {
            if (!owner_ || (phase_ != Phase::idle && phase_ != Phase::head && !receiving())) return;
            if (receiving() && body_->room() == 0) return stalled();
            if (buffer_.size() > 0) {
                if (!parse()) return;
                continue;
            }
            if (turns >= kTurns) {  // the others' turn
                return asio::post(socket_.get_executor(),
                                  [self = shared_from_this()] { self->guarded([&] { self->feed(); }); });
            }
            if (!receive()) return;
        }
    }

    // Whether anything was read.
    bool receive() {
        if (called_) return turn_away(), false;
        const std::size_t space = buffer_.max_size() - buffer_.size();
        const std::size_t size = std::min(space, receiving() ? kPiece : kHeadPiece);
        const auto room = buffer_.prepare(size);
        std::size_t count = 0;
        const error_code error = net::repeated_while_interrupted(
            [&](error_code& failed) { count = socket_.read_some(room, failed); });
        if (net::is_to_be_repeated(error)) {
            if (phase_ == Phase::idle) buffer_.shrink_to_fit();
            if (!net::is_interrupted(error)) unread_since_.reset();  // else there may be bytes still
            wait_readable();
            return false;
        }
        if (error) return close(), false;
        buffer_.commit(count);
        received_ += count;
        if (receiving())
            body_timer();
        else if (phase_ == Phase::head)
            since_ = Steady::now();
        return true;
    }

    // Hands the parser what has come; false: it needs more than that, or this was the end of it.
    bool parse() {
        if (phase_ == Phase::idle) {
            while (buffer_.size() > 0 && is_line_end(buffer_)) buffer_.consume(1);  // before a request line
            if (buffer_.size() == 0) return true;
            phase_ = Phase::head;
            since_ = Steady::now();
            parser_.emplace();
            parser_->header_limit(net::kHeaderLimit);
            parser_->body_limit(net::kLargestBody);
            began_ = first_by_ ? *first_by_ - net::span(kFirstRequest) : Steady::now();
            close_at(began_ + net::span(kFirstRequest));
        }
        error_code error;
        std::size_t room = 0;
        auto& part = parser_->get().body();
        if (receiving()) {
            part.size = room = body_->room();
            part.data = body_->space();
            part.more = true;
        }
        const bool heading = !parser_->is_header_done();
        parser_->eager(!heading);
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        consumed(used);
        // The last byte of one that servers have in part lets it begin there: not for a client that has gone.
        if (receiving() && phase_ == Phase::waiting && parser_->is_done() && left()) return close(), false;
        if (receiving() && part.size < room) {
            body_->added(room - part.size);
        }
        if (error == http::error::need_buffer) error = {};
        if (error == http::error::need_more) {
            if (buffer_.size() < buffer_.max_size()) return receive();
            error = http::error::header_limit;
        }
        if (error) {
            reject(error == http::error::body_limit ? http::status::payload_too_large
                                                    : http::status::bad_request);
            return false;
        }
        if (heading && parser_->is_header_done()) return head_done();
        if (receiving()) {
            if (parser_->is_done()) return body_done(), false;
            if (phase_ == Phase::body && body_->full()) arrive();
        }
        return true;
    }

    bool head_done() {
        const auto& head = parser_->get();
        keep_ = parser_->keep_alive();
        version_ = head.version();
        const auto length = parser_->content_length();
        // Beast refuses two lengths, and a length beside chunks; a coding that it does not know hides the
        // end.
        const auto codings = head.count(http::field::transfer_encoding);
        const bool framed =
            codings == 0 || (codings == 1 && head.count(http::field::content_length) == 0 && version_ == 11 &&
                             boost::beast::iequals(head[http::field::transfer_encoding], "chunked"));
        if (!framed || version_ > 11) return reject(http::status::bad_request), false;
        if (length && *length > net::kLargestBody) return reject(http::status::payload_too_large), false;
        auto message = std::make_shared<RequestHead>();
        static_cast<RequestHead::header_type&>(*message) = head.base();
        if (head.target().starts_with("http://")) {  // the absolute form
            const auto path = head.target().find('/', 7);
            message->target(path == boost::beast::string_view::npos ? "/" : head.target().substr(path));
        }
        message_ = std::move(message);
        if (parser_->is_done() && message_->target() == "/_health") {
            first_by_.reset();
            no_limit();
            answer(plain(head.method() == http::verb::get ? http::status::ok
                                                          : http::status::method_not_allowed));
            return false;
        }
        if (!read_arrival(*message_)) return reject(http::status::bad_request), false;
        if (parser_->is_done()) return arrive(), false;
        phase_ = Phase::body;
        body_ = std::make_shared<net::BodyBuffer>(
            owner_->budget_, length ? std::optional<std::uint64_t>(*length) : std::nullopt);
        body_->on_room = [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || !self->receiving()) return;
            self->body_began_ = Steady::now();
            self->received_ = 0;
            self->body_timer();
            asio::post(self->socket_.get_executor(), [self] {
                if (self->owner_) self->guarded([&] { self->feed(); });
            });
        };
        body_began_ = began_;
        received_ = buffer_.size();
        body_timer();
        if (buffer_.size() > 0 || !expects_continue()) return true;
        write_out(net::write_step(asio::const_buffer(kContinue.data(), kContinue.size())),
                  [this](bool whole) { whole ? feed() : close(); });
        return false;
    }
    bool expects_continue() const {
        return version_ == 11 && boost::beast::iequals((*message_)[http::field::expect], "100-continue");
    }

    void body_done() {
        no_limit();
        body_->finish();
        if (!owner_) return;
        if (phase_ == Phase::body) return arrive();
        if (phase_ != Phase::waiting) return;
        owner_->callbacks_.on_body_complete(id_);
        if (!owner_ || phase_ != Phase::waiting) return;
        next_unread();
        if (buffer_.size() == 0) wait_readable();
    }

    // To the sidecar: with its body whole, or as much of it as there is room for.
    void arrive() {
        auto arrival = read_arrival(*message_);
        first_by_.reset();
        if (!receiving()) {
            no_limit();
            arrival->time_left = std::max(0.0, arrival->time_left - unread_for());
            next_unread();
        }
        arrival->id = id_ = owner_->next_request_++;
        arrival->message = message_;
        arrival->body = body_ && body_->whole() && body_->total() == 0 ? nullptr : body_;
        phase_ = Phase::waiting;
        owner_->held_[id_] = shared_from_this();
        if (!receiving() && buffer_.size() == 0) wait_readable();
        owner_->callbacks_.on_request(std::move(*arrival));
    }

    // The time of a request counts from its last byte. When that came is not known of what stood unread, in
    // our buffer or the kernel's: at the earliest when we stopped to read, or saw the first of it. So that
    // this does not lie ever further back for a client that sends without a pause, what is here is counted:
    // bytes beyond those came after that.
    void stands_unread() {
        if (unread_since_) return;
        unread_since_ = Steady::now();
        count_unread();
    }
    void count_unread() {
        error_code ignored;
        counted_at_ = Steady::now();
        counted_ = buffer_.size() + socket_.available(ignored);
    }
    void consumed(std::size_t bytes) {
        if (!unread_since_ || bytes == 0) return;
        if (bytes <= counted_) {
            counted_ -= bytes;
            return;
        }
        unread_since_ = counted_at_;
        count_unread();
    }
    // No room for the rest of a body: our delay, and on_room goes on. While its last byte is yet to come the
    // time counts from now at the earliest.
    void stalled() {
        error_code ignored;
        const std::uint64_t here = body_->total() + buffer_.size() + socket_.available(ignored);
        if (!body_->length || here < *body_->length) unread_since_.reset();
        stands_unread();
        no_limit();
    }
    // One request is here whole: whatever else is here is of the next one.
    void next_unread() {
        if (buffer_.size() > 0)
            stands_unread();
        else if (unread_since_ && quiet())
            unread_since_.reset();
    }

    // A small request may take its time whatever its pieces; a larger body has to come on after that, without
    // a long pause and at half the slowest writer's pace on the whole.
    void body_timer() {
        const auto small = body_began_ + net::span(kFirstRequest);
        const auto paced = small + net::span(static_cast<double>(received_) / kSlowestPace);
        close_at(std::max(small, std::min(Steady::now() + net::span(kPause), paced)));
    }

    void reject(http::status status) {
        if (phase_ == Phase::answering) return;  // it has its answer, and its end with it
        if (id_ != 0) {
            owner_->held_.erase(id_);
            owner_->callbacks_.on_client_disconnected(id_);
            leave(*owner_, false);
        }
        keep_ = false;
        answer(plain(status));
    }

    // The request that it has here, if any, is at its end.
    void leave(DownstreamListener& owner, bool whole) {
        if (id_ != 0) owner.callbacks_.on_response_ended(std::exchange(id_, 0), whole);
    }

    void answered(bool whole, bool stays) {
        const bool unread = receiving();
        if (body_) body_->on_room = nullptr;
        body_.reset();
        message_.reset();
        parser_.reset();
        if (const auto pipe = std::exchange(pipe_, nullptr)) pipe->on_more = nullptr;
        leave(*owner_, whole);
        no_limit();
        if (!whole) return close();
        const bool last = called_ && buffer_.size() == 0;
        if (!stays || unread || last) return finish(kLongestLinger);
        phase_ = Phase::idle;
        since_ = Steady::now();
        next_unread();
        owner_->rested();
        if (buffer_.size() > 0) return feed();
        buffer_.shrink_to_fit();
        wait_readable();
    }

    // ---- Writing ----

    // What is to be done later, unless the connection is closed by then.
    template <class Work>
    auto if_open(Work work) {
        return [self = shared_from_this(), work = std::move(work)]() mutable {
            if (self->owner_) self->guarded(work);
        };
    }

    // Then, in a turn of its own, goes on with whether all of it was written. What waits for that turn is
    // moved and never copied: a copy may fail for want of memory where nobody sees it.
    void write_out(net::WriteStep step, std::function<void(bool)> then) {
        error_code failed;
        const bool whole = net::write_what_is_taken(step, socket_, failed);
        if (whole || !net::is_to_be_repeated(failed))
            return asio::post(socket_.get_executor(),
                              if_open([then = std::move(then), whole] { then(whole); }));
        auto go_on = if_open([this, step = std::move(step), then = std::move(then)]() mutable {
            write_out(std::move(step), std::move(then));
        });
        socket_.async_wait(net::Tcp::socket::wait_write,
                           [go_on = std::move(go_on)](error_code) mutable { go_on(); });
    }

    // ---- An answer that is passed on as it comes ----

    void pump() {
        if (!owner_ || writing_ || !pipe_) return;
        const auto bytes = pipe_->unread();
        if (!bytes.empty()) {
            writing_ = true;
            progress();
            const auto then = [this, count = bytes.size()](bool whole) { wrote(whole, count); };
            const asio::const_buffer out(bytes.data(), bytes.size());
            if (pipe_->length || until_close_)
                write_out(net::write_step(out), then);
            else
                write_out(net::write_step(http::make_chunk(out)), then);
        } else if (pipe_->broken()) {
            // The client sees that it is not whole: short of its length, or without its last chunk, or reset.
            close();
        } else if (pipe_->whole() && !pipe_->length && !until_close_ && !std::exchange(ending_, true)) {
            writing_ = true;
            write_out(net::write_step(http::make_chunk_last()), [this](bool whole) { wrote(whole, 0); });
        } else if (pipe_->whole()) {
            ending_ = false;
            if (until_close_) reset_at_end(false);
            answered(true, stays_);
        } else {
            no_limit();  // the server's turn
        }
    }
    void wrote(bool whole, std::size_t count) {
        writing_ = false;
        if (!whole) return close();
        const auto pipe = pipe_;
        if (count > 0) pipe->take(count);
        pump();
    }
    // A reader may be slow, but not still.
    void progress() { close_at(Steady::now() + net::span(kStillReader)); }
    // Where its end is the answer's, that of the process in its midst must not be taken for it either.
    void reset_at_end(bool reset) {
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(reset, 0), ignored);
    }

    void discard() {
        buffer_.consume(buffer_.size());
        socket_.async_read_some(
            buffer_.prepare(kHeadPiece), [self = shared_from_this()](error_code failed, std::size_t) {
                if (failed) return self->close();
                if (!self->owner_) return;
                self->close_at(std::min(self->finish_by_, Steady::now() + net::span(kLinger)));
                self->discard();
            });
    }

    void no_limit() {
        due_ = {};
        timer_.cancel();
    }
    void close_at(Steady::time_point when) {
        due_ = when;
        timer_.expires_at(when);
        timer_.async_wait([weak = weak_from_this(), when](error_code cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self && self->due_ == when) self->guarded([&] { self->overdue(); });
        });
    }
    // Whoever has sent no whole request is ended in order, whoever does not read is not waited for.
    // What came up to now is read first.
    void overdue() {
        if (still_comes()) {
            feed();
            if (!owner_ || !still_comes() || due_ == Steady::time_point{} || due_ > Steady::now()) return;
        }
        id_ == 0 && phase_ < Phase::waiting ? finish(kLinger) : close();
    }
    // Whether a request is yet to come, or its rest.
    bool still_comes() const { return phase_ < Phase::waiting || (phase_ == Phase::waiting && receiving()); }

    DownstreamListener* owner_;  // none: closed
    net::Tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_{net::kHeaderLimit + kHeadPiece};
    std::optional<http::request_parser<http::buffer_body>> parser_;
    std::shared_ptr<const RequestHead> message_;
    std::shared_ptr<net::BodyBuffer> body_, pipe_;  // of the request, and of its answer
    Phase phase_ = Phase::idle;
    RequestId id_ = 0;
    unsigned version_ = 11;
    std::uint64_t received_ = 0;
    Steady::time_point since_, began_, body_began_, due_, finish_by_;
    std::optional<Steady::time_point> first_by_;      // none: it has sent a request
    std::optional<Steady::time_point> unread_since_;  // none: what comes is read as it comes
    Steady::time_point counted_at_;                   // when unread bytes were last counted,
    std::size_t counted_ = 0;                         // and how many of those are still unread
    bool keep_ = true, stays_ = true, waiting_ = false, writing_ = false, ending_ = false,
         until_close_ = false, called_ = false;
};

DownstreamListener::DownstreamListener(asio::io_context& io, const net::Tcp::endpoint& listen,
                                       std::size_t clients, bool shared,
                                       std::shared_ptr<net::BufferBudget> budget, Callbacks callbacks)
    : io_(io),
      acceptor_(io, listen.protocol()),
      most_clients_(clients),
      budget_(std::move(budget)),
      callbacks_(std::move(callbacks)),
      timer_(io),
      drain_timer_(io) {
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    error_code alone;  // where it can't be shared, binding tells
    if (shared)
        acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true), alone);
    acceptor_.bind(listen);
    address_ = acceptor_.local_endpoint();
    acceptor_.non_blocking(true);
    // Else Asio waits for the next connection, with no limit, where one has been aborted.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    acceptor_.listen(asio::socket_base::max_listen_connections);
    if (shared) steer(acceptor_.native_handle());
    resume_accepting();
}

DownstreamListener::~DownstreamListener() {
    callbacks_.on_client_disconnected = [](RequestId) {};
    callbacks_.on_response_ended = [](RequestId, bool) {};
    callbacks_.on_drained = nullptr;
    for (const ClientPtr& client : std::exchange(clients_, {})) client->close();
}

void DownstreamListener::resume_accepting() {
    if (accepting_ || !acceptor_.is_open() || !make_room()) return;
    acceptor_.async_wait(net::Tcp::acceptor::wait_read, [this](error_code failed) {
        if (failed == asio::error::operation_aborted) return;
        accepting_ = false;
        accept_waiting();
    });
    accepting_ = true;  // not where that has thrown
}

// Asio's own accept would lose its handler, and all connections after it, where there is no memory for one.
void DownstreamListener::accept_waiting() {
    for (int turns = 0; turns < kTurns && acceptor_.is_open() && make_room(); ++turns) {
        const error_code failed = accept_one();
        if (net::is_to_be_repeated(failed)) break;
        if (failed && accept_pace_.pauses_after(failed)) return accept_after_pause();
    }
    resume_accepting();
}

// Without waiting: `would_block` where there is none.
error_code DownstreamListener::accept_one() {
    net::Tcp::socket socket(io_);
    error_code failed;
    acceptor_.accept(socket, failed);
    if (failed) return failed;
    accept_pace_.succeeded();
    accepted(std::move(socket));
    return {};
}

void DownstreamListener::accept_after_pause() {
    timer_.expires_after(net::span(kAcceptPause));
    timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) resume_accepting();
    });
}

void DownstreamListener::accepted(net::Tcp::socket socket) {
    const auto client = std::make_shared<Client>(*this, std::move(socket));
    clients_.insert(client);
    client->guarded([&] { client->begin(); });
}

void DownstreamListener::limit_connections(std::size_t clients) {
    most_clients_ = clients;
    while (clients_.size() > most_clients_) {
        const std::size_t before = clients_.size();
        make_room();
        if (clients_.size() == before) return;
    }
}

// Near the bound the client of least use makes room, of those alike the one that has been so longest. An end
// in order takes until the client's own, or a while: a part of the bound is for those on their way out. Where
// a newcomer waits already it is not waited for: the client is closed at once. Where nobody may make room,
// accepting waits.
bool DownstreamListener::make_room() {
    const std::size_t most = most_clients_ - most_clients_ / kSparePart;
    if (clients_.size() < most) return true;
    std::vector<std::pair<std::pair<int, Steady::time_point>, ClientPtr>> order;
    std::size_t leaving = 0;
    for (const ClientPtr& client : clients_)
        if (client->finishing())
            ++leaving;
        else if (client->use() < Client::kNeeded)
            order.push_back({{client->use(), client->since()}, client});
    const auto later = [](const auto& a, const auto& b) { return a.first > b.first; };
    std::make_heap(order.begin(), order.end(), later);
    const bool pressed = clients_.size() >= most_clients_ && look(acceptor_, POLLIN);
    while (!order.empty() &&
           (pressed ? clients_.size() >= most_clients_ : clients_.size() - leaving >= most)) {
        const ClientPtr client = order.front().second;
        if (client->quiet()) pressed ? client->close() : client->yield();
        leaving += client->finishing();
        std::pop_heap(order.begin(), order.end(), later);
        order.pop_back();
    }
    return clients_.size() < most_clients_;
}

void DownstreamListener::rested() {
    if (clients_.size() >= most_clients_) asio::post(io_, [this] { resume_accepting(); });
}

void DownstreamListener::closed(const ClientPtr& client) {
    if (clients_.erase(client) == 0) return;
    asio::post(io_, [this] { resume_accepting(); });
    if (draining_ && !acceptor_.is_open() && clients_.empty() && callbacks_.on_drained)
        asio::post(io_, callbacks_.on_drained);
}

bool DownstreamListener::has_client_left(RequestId request) {
    const auto at = held_.find(request);
    if (at == held_.end() || !at->second->left()) return false;
    asio::post(io_, [client = at->second] { client->close(); });
    return true;
}

Millis DownstreamListener::unread_time(RequestId request) const {
    const auto at = held_.find(request);
    return at == held_.end() ? 0 : at->second->unread_for();
}

void DownstreamListener::respond(RequestId request, Response answer) {
    const auto at = held_.find(request);
    if (at == held_.end()) return;
    const ClientPtr client = at->second;
    held_.erase(at);
    client->guarded([&] { client->answer(std::move(answer)); });
}

void DownstreamListener::stream_response(RequestId request, ResponseHead head,
                                         std::shared_ptr<net::BodyBuffer> body) {
    const auto at = held_.find(request);
    if (at == held_.end()) return;
    const ClientPtr client = at->second;
    held_.erase(at);
    client->guarded([&] { client->stream(std::move(head), std::move(body)); });
}

void DownstreamListener::drain(Millis accepting) {
    draining_ = true;
    drain_timer_.expires_after(net::span(accepting));
    drain_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) stop_accepting();
    });
}

void DownstreamListener::end_waiting_connections() {
    if (acceptor_.is_open()) stop_accepting();
    for (const ClientPtr& client : std::vector<ClientPtr>(clients_.begin(), clients_.end()))
        client->last_call();
}

// What the machine has accepted by now is taken, however long it takes to have a descriptor for it; what is
// idle after that is ended.
void DownstreamListener::stop_accepting() {
    for (error_code failed; failed != asio::error::would_block;) {
        failed = accept_one();
        if (failed && failed != asio::error::would_block && accept_pace_.pauses_after(failed))
            return drain(kAcceptPause);
    }
    error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    for (const ClientPtr& client : std::vector<ClientPtr>(clients_.begin(), clients_.end()))
        if (client->idle()) client->finish(kLongestLinger);
    if (clients_.empty() && callbacks_.on_drained) asio::post(io_, callbacks_.on_drained);
}

}  // namespace mothring::node
