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

#include "mothring/balancer.hpp"
#include "node/config.hpp"
#include "node/pipe.hpp"
#include "node/socket_errors.hpp"

namespace mothring::node {

class Front {
public:
    using Message = boost::beast::http::request<boost::beast::http::empty_body>;
    using Head = boost::beast::http::response<boost::beast::http::empty_body>;
    using Answer = boost::beast::http::response<boost::beast::http::string_body>;
    struct Arrival {
        RequestId id = 0;
        std::shared_ptr<const Message> message;  // its head
        std::shared_ptr<Pipe> body;              // none: it has none; may be yet to come
        std::string class_name;
        std::string tenant;
        Millis time_left = 0;  // less what a whole one has waited here, behind another
        Millis effort = 0;
        bool repeat = false;
    };
    struct Callbacks {
        std::function<void(Arrival)> arrived;
        std::function<void(RequestId)> whole;  // the last byte of one that arrived with its body yet to come
        std::function<void(RequestId)> gone;   // its client has closed the connection
        std::function<void(RequestId, bool whole)>
            left;                       // once, after all: whether its answer went out whole
        std::function<void()> drained;  // after drain(): no client is left
    };

    // Listens at once; throws boost::system::system_error where it can't. `shared`: with another process of
    // this sidecar, where there is one; new connections then go to the one that listened last.
    Front(boost::asio::io_context& io, const Tcp::endpoint& listen, std::size_t clients, bool shared,
          std::shared_ptr<Budget> budget, Callbacks callbacks);
    ~Front();

    // Whether the client of a request that waits for its answer has closed its connection, also where that
    // stands behind bytes that are not read yet. It is then ended, and told as gone, in a later turn.
    bool left(RequestId request);
    // For how long bytes of a request that is still coming may have stood unread, as there was no room for
    // them; 0: not at all.
    Millis unread_for(RequestId request) const;
    // The final answer; the first one counts.
    void answer(RequestId request, Answer answer);
    // The same for one whose body is passed on as it comes.
    void stream(RequestId request, Head head, std::shared_ptr<Pipe> body);
    // Goes on taking requests for that long, closing each connection with its answer, then only finishes.
    void drain(Millis accepting);
    // Of a drain, when nobody may wait any longer: what has come whole by now is taken still, whoever has not
    // sent a whole request is told so, and the others are ended.
    void last_call();
    std::size_t clients() const { return clients_.size(); }
    Tcp::endpoint address() const { return address_; }
    bool draining() const { return draining_; }
    // Those idle longest make room at once, the others as they end.
    void limit_clients(std::size_t clients);

    /// Takes new connections, where it does not already. To be called after a failure that may have ended it.
    void accept();

private:
    class Client;
    using ClientPtr = std::shared_ptr<Client>;

    void accept_waiting();
    boost::system::error_code accept_one();
    void accept_after_pause();
    void accepted(Tcp::socket socket);
    void stop_accepting();
    bool make_room();
    void closed(const ClientPtr& client);
    void rested();

    boost::asio::io_context& io_;
    Tcp::acceptor acceptor_;
    Tcp::endpoint address_;
    std::size_t most_clients_;
    std::shared_ptr<Budget> budget_;
    Callbacks callbacks_;
    boost::asio::steady_timer timer_;  // of the next try to accept
    FailurePace accept_pace_;
    boost::asio::steady_timer drain_timer_;
    std::unordered_set<ClientPtr> clients_;
    std::unordered_map<RequestId, ClientPtr> held_;
    RequestId next_request_ = 1;
    bool draining_ = false, accepting_ = false;
};

}  // namespace mothring::node
