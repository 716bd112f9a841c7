// The application's side: takes its requests over HTTP and gives each of them its one answer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "config/config.hpp"
#include "mothring/balancer.hpp"
#include "net/body_buffer.hpp"
#include "net/socket_errors.hpp"

namespace mothring::node {

class DownstreamListener {
public:
    using RequestHead = boost::beast::http::request<boost::beast::http::empty_body>;
    using ResponseHead = boost::beast::http::response<boost::beast::http::empty_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    struct IncomingRequest {
        RequestId id = 0;
        std::shared_ptr<const RequestHead> message;  // its head
        std::shared_ptr<net::BodyBuffer> body;       // none: it has none; may be yet to come
        std::string class_name;
        std::string tenant;
        Millis time_left = 0;  // less what a whole one has waited here, behind another
        Millis effort = 0;
        bool is_retry = false;
    };
    struct Callbacks {
        std::function<void(IncomingRequest)> on_request;
        std::function<void(RequestId)>
            on_body_complete;  // the last byte of one that arrived with its body yet to come
        std::function<void(RequestId)> on_client_disconnected;  // its client has closed the connection
        std::function<void(RequestId, bool whole)>
            on_response_ended;             // once, after all: whether its answer went out whole
        std::function<void()> on_drained;  // after drain(): no client is left
    };

    // Listens at once; throws boost::system::system_error where it can't. `shared`: with another process of
    // this sidecar, where there is one; new connections then go to the one that listened last.
    DownstreamListener(boost::asio::io_context& io, const net::Tcp::endpoint& listen, std::size_t clients,
                       bool shared, std::shared_ptr<net::BufferBudget> budget, Callbacks callbacks);
    ~DownstreamListener();

    // Whether the client of a request that waits for its answer has closed its connection, also where that
    // stands behind bytes that are not read yet. It is then ended, and told as gone, in a later turn.
    bool has_client_left(RequestId request);
    // For how long bytes of a request that is still coming may have stood unread, as there was no room for
    // them; 0: not at all.
    Millis unread_time(RequestId request) const;
    // The final answer; the first one counts.
    void respond(RequestId request, Response response);
    // The same for one whose body is passed on as it comes.
    void stream_response(RequestId request, ResponseHead head, std::shared_ptr<net::BodyBuffer> body);
    // Goes on taking requests for that long, closing each connection with its answer, then only finishes.
    void drain(Millis accepting);
    // Of a drain, when nobody may wait any longer: what has come whole by now is taken still, whoever has not
    // sent a whole request is told so, and the others are ended.
    void end_waiting_connections();
    std::size_t connection_count() const { return clients_.size(); }
    net::Tcp::endpoint address() const { return address_; }
    bool draining() const { return draining_; }
    // Those idle longest make room at once, the others as they end.
    void limit_connections(std::size_t connections);

    /// Takes new connections, where it does not already. To be called after a failure that may have ended it.
    void resume_accepting();

private:
    class Client;
    using ClientPtr = std::shared_ptr<Client>;

    void accept_waiting();
    boost::system::error_code accept_one();
    void accept_after_pause();
    void accepted(net::Tcp::socket socket);
    void stop_accepting();
    bool make_room();
    void closed(const ClientPtr& client);
    void rested();

    boost::asio::io_context& io_;
    net::Tcp::acceptor acceptor_;
    net::Tcp::endpoint address_;
    std::size_t most_clients_;
    std::shared_ptr<net::BufferBudget> budget_;
    Callbacks callbacks_;
    boost::asio::steady_timer timer_;  // of the next try to accept
    net::FailurePace accept_pace_;
    boost::asio::steady_timer drain_timer_;
    std::unordered_set<ClientPtr> clients_;
    std::unordered_map<RequestId, ClientPtr> held_;
    RequestId next_request_ = 1;
    bool draining_ = false, accepting_ = false;
};

}  // namespace mothring::node
