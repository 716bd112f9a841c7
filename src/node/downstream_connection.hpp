/// @file
/// One connection of the application.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "net/address.hpp"
#include "net/body_buffer.hpp"
#include "node/guarded_connection.hpp"
#include "node/incoming_request.hpp"
#include "node/request_parser.hpp"
#include "node/request_timeouts.hpp"
#include "node/response_writer.hpp"
#include "node/unread_ages.hpp"

namespace mothring::node::downstream {

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

/// In which order connections make room for others: the least first.
enum class EvictionRank {
    awaits_first_request,
    idle_for_long,  // clients expect no connection to be kept for longer
    within_head,
    idle,
    needed,  // never makes room: it is owed a response, or on its way out
};

/// Takes one request at a time and gives it its response: an idle connection, one that sends a request, waits
/// for its response, or is being answered. What comes is read only as there is room for it.
class Connection final : public GuardedConnection {
public:
    /// What a connection needs of its listener, which closes it before its own end.
    class Owner {
    public:
        virtual bool is_draining() const = 0;
        virtual const Callbacks& callbacks() const = 0;
        virtual std::shared_ptr<net::BufferBudget> body_budget() const = 0;
        virtual RequestId next_request_id() = 0;
        /// From now on the request can be answered; until remove_request(), or an answer.
        virtual void add_request(RequestId id, ConnectionPtr connection) = 0;
        virtual void remove_request(RequestId id) = 0;
        virtual void became_idle() = 0;
        virtual void closed(const ConnectionPtr& connection) = 0;

    protected:
        ~Owner() = default;
    };

    Connection(Owner& owner, boost::asio::io_context& io, net::Tcp::socket socket);

    /// Begins to read. A client that sends no complete request in time is disconnected.
    void start();

    bool is_open() const override { return owner_ != nullptr; }
    void close() override;
    /// Closes in order: ends our side first, then waits for the client's. Closing over unread bytes would
    /// reset the connection, and could take the last response with it.
    /// @param longest  to wait for a client that goes on sending.
    void shut_down(Millis longest);
    /// Shuts down what is idle, in the time of a drain's end.
    void shut_down_if_idle();
    /// Makes room for others. A client that was served may not have read all of its last response; one that
    /// was not is disconnected at once.
    void evict();
    /// Nothing more is read: a request that has come completely by now is taken, the rest of another is not.
    void end_reading();

    void respond(Response response);
    void stream_response(ResponseHead head, std::shared_ptr<net::BodyBuffer> body);

    /// Whether everything that has come is read, but perhaps the client's end.
    bool has_read_all();
    /// Whether the client has ended its side, be there unread bytes before the end or not: a look at the
    /// bytes alone would not tell.
    bool has_client_left();
    /// For how long what was or will be read next may have stood unread.
    Millis unread_time() const;

    bool is_shutting_down() const { return state_ == State::shutting_down; }
    EvictionRank eviction_rank() const;
    /// The last time at which it fell idle, or bytes of a head came.
    std::chrono::steady_clock::time_point active_at() const { return active_at_; }

private:
    using SteadyClock = std::chrono::steady_clock;
    using TimePoint = SteadyClock::time_point;

    enum class State {
        idle,
        reading_head,
        reading_body,  // not reported yet
        waiting,       // for the response; the rest of the body may still be coming
        responding,
        shutting_down,
    };

    ConnectionPtr self();
    boost::system::error_code peek();
    bool is_receiving_body() const { return body_ && !body_->is_complete(); }
    bool is_reading_head() const { return state_ == State::idle || state_ == State::reading_head; }
    bool is_reading() const { return is_open() && (is_reading_head() || is_receiving_body()); }
    bool is_request_incomplete() const;
    bool stays_open();
    bool has_more_requests();

    // ---- Reading ----
    void wait_readable();
    void on_readable();
    void read();
    void read_later();
    bool receive();
    void note_received(std::size_t bytes);
    bool parse();
    bool take_step(const RequestParser::Step& step);
    void start_request();
    bool take_head();
    bool start_body();
    bool expects_continue() const;
    void on_body_room();
    void wait_for_body_room();
    void complete_body();
    void deliver();
    void note_unread();
    void note_next_request();
    std::size_t count_unread();

    // ---- Responses ----
    void reject(boost::beast::http::status status);
    void respond_to_health_check();
    void reject_incomplete();
    void end_response(bool complete, bool keep_alive);
    void report_response_ended(Owner& owner, bool complete);

    // ---- Time limits ----
    void close_at(TimePoint time);
    void limit_body_time();
    void lift_time_limit();
    void on_time_limit();
    void discard();

    Owner* owner_;  // null: closed
    net::Tcp::socket socket_;
    boost::asio::steady_timer timer_;
    RequestParser parser_;
    RequestTimeouts timeouts_;
    UnreadAges unread_ages_;
    ResponseWriter writer_;
    State state_ = State::idle;

    // The request under way.
    RequestId id_ = 0;  // 0: not reported yet, or ended
    std::shared_ptr<const RequestHead> head_;
    std::shared_ptr<net::BodyBuffer> body_;  // null: it has none
    unsigned http_version_ = kHttp11;
    bool keep_alive_ = true;

    TimePoint active_at_;
    TimePoint time_limit_;  // none: no limit
    TimePoint shutdown_time_limit_;
    bool is_waiting_readable_ = false;
    bool has_ended_reading_ = false;
};

}  // namespace mothring::node::downstream
