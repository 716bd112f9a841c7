/// @file
/// One client connection of the downstream listener.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include "net/address.hpp"
#include "net/body_buffer.hpp"
#include "net/head_memory.hpp"
#include "node/body_arrival.hpp"
#include "node/guarded_connection.hpp"
#include "node/incoming_request.hpp"
#include "node/request_parser.hpp"
#include "node/request_timeouts.hpp"
#include "node/response_writer.hpp"
#include "node/unread_ages.hpp"

namespace mothring::node::downstream {

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

/// Order in which connections are evicted to free capacity for new ones: lowest value first.
enum class EvictionRank {
    awaits_first_request,
    idle_for_long,  // clients do not expect a connection to be kept longer than this
    within_head,
    idle,
    // Those that follow are evicted only for a new connection that is pending already.
    shutting_down,
    within_body,
    stalled_response,  // the server has sent nothing more of a streamed response for a long time
    awaits_response,   // or is sending it; never evicted
};

/// Reads the requests of one client connection, reports them one at a time and writes their responses. It
/// reads from the socket only as much as it has buffer space for.
class Connection final : public GuardedConnection {
public:
    /// Interface of the listener that owns the connection. The listener closes the connection before it is
    /// destroyed itself.
    class Owner {
    public:
        virtual bool is_draining() const = 0;
        /// Returns whether a drain has begun to close the connections that are idle.
        virtual bool is_closing_idle() const = 0;
        virtual const Callbacks& callbacks() const = 0;
        virtual std::shared_ptr<net::BufferBudget> body_budget() const = 0;
        virtual RequestId next_request_id() = 0;
        /// Registers a request that can be answered until remove_request() is called or a response is given.
        virtual void add_request(RequestId id, ConnectionPtr connection) = 0;
        virtual void remove_request(RequestId id) = 0;
        virtual void on_idle() = 0;
        virtual void on_closed(const ConnectionPtr& connection) = 0;

    protected:
        ~Owner() = default;
    };

    Connection(Owner& owner, boost::asio::io_context& io, net::Tcp::socket socket);

    /// Starts reading. A client that does not send a complete request in time is disconnected.
    void start();

    bool is_open() const override { return owner_ != nullptr; }
    void close() override;
    /// Closes gracefully: shuts down sending, then reads and discards until the client closes too. Closing a
    /// socket that has unread bytes would reset the connection, and the client could lose the last response.
    /// @param max_wait  limits the wait for a client that keeps sending.
    void shut_down(Millis max_wait);
    /// Shuts the connection down if it is idle and has no unread bytes. Used when a drain stops accepting.
    void shut_down_if_idle();
    /// Ends the connection to free capacity. An idle connection that has served a request is shut down
    /// gracefully, because its client may not have read all of its last response. Any other is closed at
    /// once.
    void evict();
    /// Ends the connection at once to free capacity for a pending one. A request whose body is incomplete is
    /// rejected before: no server has started it.
    void evict_at_once();
    /// Stops reading. Accepts a request that has arrived completely by now, rejects an incomplete one and
    /// shuts an idle connection down.
    void end_reading();

    void respond(Response response);
    void stream_response(ResponseHead head, std::shared_ptr<net::BodyBuffer> body);

    /// Returns whether all received bytes have been read; the end of the stream may still be unread.
    bool has_read_all();
    /// Returns whether the client has closed its sending side. Detects this also behind unread bytes, where
    /// peeking at the stream would show only the bytes.
    bool has_client_left();
    /// Returns whether the client may have closed its sending side unseen. The end of the stream follows the
    /// bytes that the client's machine could not deliver yet, so many unread bytes hide it. Must be called
    /// only if has_client_left() has returned false.
    bool may_have_left_unseen();
    /// Returns how long the bytes read last, or next, may have been waiting unread.
    Millis unread_time() const;

    bool is_shutting_down() const { return state_ == State::shutting_down; }
    EvictionRank eviction_rank() const;
    /// Returns the last time at which the connection became idle, received bytes of a request or started to
    /// shut down.
    std::chrono::steady_clock::time_point active_at() const { return active_at_; }

private:
    using SteadyClock = std::chrono::steady_clock;
    using TimePoint = SteadyClock::time_point;

    enum class State {
        idle,
        reading_head,
        reading_body,  // the request has not been reported yet
        waiting,       // for the response; the rest of the body may still be arriving
        responding,
        shutting_down,
    };

    ConnectionPtr self();
    boost::system::error_code peek();
    bool is_receiving_body() const { return body_ && !body_->is_complete(); }
    bool is_reading_head() const { return state_ == State::idle || state_ == State::reading_head; }
    bool is_reading() const { return is_open() && (is_reading_head() || is_receiving_body()); }
    bool is_request_incomplete() const;
    bool is_within_body() const { return is_request_incomplete() && !is_reading_head(); }
    bool stays_open();
    bool has_more_requests();

    // ---- Reading ----
    void wait_readable();
    void on_readable();
    void read();
    void read_later();
    bool receive();
    std::size_t read_size();
    void note_received(std::size_t bytes);
    bool parse();
    bool handle_step(const RequestParser::Step& step);
    void start_request();
    bool reserve_unparsed_head();
    bool handle_head();
    bool take_head();
    void reject_for_memory();
    bool start_body();
    bool expects_continue() const;
    void on_body_space();
    void wait_for_body_space();
    void limit_pause(std::size_t unread_in_socket);
    void log_pause() const;
    void complete_body();
    void deliver();
    void note_all_read();
    void note_unread();
    void note_next_request();
    std::size_t count_unread() const;
    std::size_t count_unread_in_socket() const;

    // ---- Responses ----
    void reject(boost::beast::http::status status);
    void respond_to_health_check();
    void reject_incomplete();
    void end_response(bool complete, bool keep_alive);
    void report_response_ended(Owner& owner, bool complete);

    void on_stream_progress();
    void on_stream_waiting();
    void on_stream_stalled();

    // ---- Time limits ----
    void set_time_limit(TimePoint time);
    void limit_body_time();
    void lift_time_limit();
    void on_time_limit();
    void discard();

    Owner* owner_;  // null once the connection is closed
    net::Tcp::socket socket_;
    boost::asio::steady_timer timer_;
    RequestParser parser_;
    net::HeadMemory unparsed_head_;  // memory for the bytes of a head that is incomplete
    RequestTimeouts timeouts_;
    UnreadAges unread_ages_;
    ResponseWriter writer_;
    State state_ = State::idle;

    // The current request.
    RequestId id_ = 0;  // 0 before the request is reported and after it has ended
    std::shared_ptr<const RequestHead> head_;
    std::shared_ptr<net::BodyBuffer> body_;  // null if the request has no body
    unsigned http_version_ = kHttp11;
    bool keep_alive_ = true;
    BodyArrival body_arrival_;
    Millis client_timeout_ = 0;
    std::optional<TimePoint> paused_since_;  // while reading of the body is paused
    bool is_reading_paused_ = false;         // until the body has buffer space

    TimePoint active_at_;
    TimePoint client_seen_at_;  // when the client was known last not to have closed its connection
    TimePoint time_limit_;      // the epoch if there is no limit
    TimePoint shutdown_time_limit_;
    bool is_waiting_readable_ = false;
    bool is_awaiting_server_ = false;  // all received bytes of a streamed response are written
    bool has_server_stalled_ = false;  // for long
    bool has_ended_reading_ = false;
};

}  // namespace mothring::node::downstream
