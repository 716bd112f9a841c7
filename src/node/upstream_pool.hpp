// Requests to servers: one exchange at a time on each kept-alive connection, and how each of them ended.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "mothring/balancer.hpp"
#include "net/body_buffer.hpp"

namespace mothring::node {

using ExchangeId = std::uint64_t;

class UpstreamPool {
public:
    using RequestHead = boost::beast::http::request<boost::beast::http::span_body<const char>>;
    struct Request {
        RequestHead message;  // its head
        std::shared_ptr<net::BodyBuffer>
            body;             // none: it has none; else from its start, and perhaps yet to come
        bool attempt = true;  // not a probe
        // Asked when its connection has come up, right before its first byte: completes the head by what is
        // known only then. False: it is not issued after all. None: it always is, as it stands.
        std::function<bool(RequestHead&)> may_begin = nullptr;
        // Asked before more of it is written after a wait for a server that didn't read. False: nothing more
        // goes out, and the exchange is to be stopped. None: all of it is to go out.
        std::function<bool()> still_wanted = nullptr;
    };
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    using Head = boost::beast::http::response<boost::beast::http::empty_body>;
    // Called once, never from within start(); the response is whole where the outcome is `completed`.
    using OnEnded = std::function<void(Outcome, Response)>;
    // A 200 that is passed on as it comes: its head, and its body, which ends as Done tells. Without it an
    // answer that can't be kept whole is none.
    using OnResponseStarted = std::function<void(Head, std::shared_ptr<net::BodyBuffer>)>;

    struct Limits {
        Millis connect_timeout = 250;
        Millis idle = 14000;            // a connection idle for longer is not used any more
        std::size_t connections = 512;  // open at once, to all servers
        Millis gather = 50;             // an answer of unknown length is kept for a retry at most so long
        // A connection rests this long after an answer before it is used again: a second one that nobody
        // asked for comes some milliseconds late, and nothing in it tells whose it is.
        Millis rest = 10;
    };

    UpstreamPool(boost::asio::io_context& io, Limits limits, std::shared_ptr<net::BufferBudget> budget);
    ~UpstreamPool();

    // Where the server listens; connections to another address, or to an earlier life, are not used again.
    void set_server(ServerId server, const net::Tcp::endpoint& address, Millis started);
    void forget_server(ServerId server);
    void close_idle(ServerId server);

    ExchangeId start(ServerId server, Request request, OnEnded on_ended,
                     OnResponseStarted on_response_started = nullptr);
    // Stops waiting; Done is not called any more. False: the request was provably never written whole.
    bool cancel(ExchangeId exchange);
    // Whether its first byte may have gone out.
    bool may_have_started(ExchangeId exchange) const;
    // Whether its last byte has been handed to the kernel.
    bool is_written(ExchangeId exchange) const;

    struct Stats {
        std::size_t open = 0, opened = 0;
        std::uint64_t attempts = 0;  // written whole
    };
    const Stats& stats() const { return *stats_; }
    // Those idle longest make room at once, the others as they end.
    void limit_connections(std::size_t connections);

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Server {
        net::Tcp::endpoint address;
        Millis started = 0;
        std::uint64_t life = 0;
        std::vector<ConnectionPtr> idle;  // the most recently used last
    };

    ConnectionPtr take_idle(Server& server);
    bool make_room();
    void drop_idle(Server& server);
    void ended(ExchangeId exchange, const OnEnded& on_ended, Outcome outcome, Response response);
    void reuse(const ConnectionPtr& connection);
    void remove(const Connection& connection);

    boost::asio::io_context& io_;
    Limits limits_;
    std::shared_ptr<net::BufferBudget> budget_;
    std::unordered_map<ServerId, Server> servers_;
    std::unordered_map<ExchangeId, ConnectionPtr> exchanges_;
    ExchangeId next_exchange_ = 1;
    std::uint64_t next_life_ = 1;
    std::shared_ptr<Stats> stats_ = std::make_shared<Stats>();
};

}  // namespace mothring::node
