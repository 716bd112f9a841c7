// The sidecar: owns the Balancer, turns what happens on the sockets into its events and carries out its
// actions. Decides nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cluster/agent.hpp"
#include "config/config.hpp"
#include "net/clock.hpp"
#include "node/discovery.hpp"
#include "node/downstream_listener.hpp"
#include "node/hot_restart_lock.hpp"
#include "node/metrics.hpp"
#include "node/operator.hpp"
#include "node/peers.hpp"
#include "node/server_start_times.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

class Sidecar {
public:
    // Ready when it returns, or, beside another process of this sidecar, once there is a list to serve from.
    // Throws where the settings make no sense or an address can't be listened on.
    Sidecar(boost::asio::io_context& io, config::Config config);

    // A configuration that replaces the one it was started with: discovery may have moved. The rest stays.
    void reconfigure(const config::Config& config);

    // Finishes what it holds and what still comes, then calls `done`.
    void drain(std::function<void()> done);

    // An exception has left the io_context's loop; what it cost is not known.
    void note_failure();

    net::Tcp::endpoint address() const { return listener_->address(); }
    // Where operators call, if anywhere.
    std::optional<net::Tcp::endpoint> operator_address() const;
    bool ready() const { return listener_ && listed_ > 0 && !drained_; }
    Metrics metrics() const;
    Balancer::Gauges gauges() const { return balancer_.gauges(); }
    std::size_t records() const { return requests_.size(); }
    bool halved() const { return halved_; }
    std::size_t buffered() const { return budget_->used; }

private:
    // Kept until the request has its answer and its attempts have ended.
    struct Attempt {
        ExchangeId exchange = 0;
        ServerId server = 0;
        Millis sent = 0;
        bool out = true;
        Millis begun = 0;  // to be passed on; none: not begun
    };
    struct Request {
        std::shared_ptr<const DownstreamListener::RequestHead> message;
        std::shared_ptr<net::BodyBuffer> body;  // none: it has none
        Millis time_left = 0;                   // from its last byte on
        Millis whole_at = 0;                    // none: its body is yet to come
        Millis deadline = 0;
        std::vector<Attempt> attempts;
        std::size_t out = 0;
        std::uint32_t class_index = 0;
        bool ended = false;
    };
    // Kept while it is listed or an attempt on it is out.
    struct Server {
        std::string name;
        std::size_t out = 0;
        bool listed = false, leaving = false;
    };
    // Kept from when a request is taken until its answer has gone out, or can't.
    struct Flight {
        std::uint32_t class_index = 0;
        Ending ending = Ending::failed;
    };
    struct AttemptLimit {
        RequestId request;
        std::uint32_t attempt;
    };
    // What is due. At one time attempts end before the module's timers fire, as on the simulator's wire.
    struct Due {
        Millis at;
        std::uint64_t order;
        std::variant<AttemptLimit, TimerToken> what;
        bool operator<(const Due& other) const {  // the queue's top is the greatest
            if (at != other.at) return at > other.at;
            if (what.index() != other.what.index()) return what.index() > other.what.index();
            return order > other.order;
        }
    };

    void give(Event event);
    void look_for_overdue(Millis in);
    bool answer_overdue();
    void carry_out(const Action& action);
    void carry_out(const SendAttempt& send);
    void carry_out(const CancelAttempt& cancel);
    void answer(RequestId id, DownstreamListener::Response answer);
    void give_answer(RequestId id, DownstreamListener::Response answer);

    void arrived(DownstreamListener::IncomingRequest arrival);
    void gone(RequestId id);
    bool may_begin(const SendAttempt& send, UpstreamPool::RequestHead& head);
    Millis waits_until(const SendAttempt& send, const Request& request) const;
    void run_out(RequestId id, std::uint32_t attempt);
    void whole(RequestId id);
    void begun(RequestId id, std::uint32_t attempt, DownstreamListener::ResponseHead head,
               std::shared_ptr<net::BodyBuffer> body);
    void ended(RequestId id, std::uint32_t attempt, Outcome outcome, UpstreamPool::Response response);
    void probe(ServerId server);
    void open_front();
    void open_front_when_possible();
    void open_cluster();
    std::uint64_t affinity_of(std::string_view class_name,
                              const DownstreamListener::RequestHead& message) const;
    void watch_other_process();
    void log_other_process() const;
    void last_call(Millis in, Millis most);
    Millis within_drain(Millis time_left) const;
    std::size_t sockets() const;
    std::size_t buffers() const;

    ServerId server_id(const std::string& name);
    std::string name_of(ServerId id) const;
    void list(ListKind kind, const config::DiscoveryList& members);
    void log_list(const config::DiscoveryList& members) const;
    EndpointInfo take_member(const config::DiscoveredServer& member, const ServerStartTimes::Moment& moment);
    void set_listed(Server& server, bool listed);
    ServerStartTimes::Moment moment_of(ListKind kind) const;
    ServerStartTimes::Start start_of(const config::DiscoveredServer& member,
                                     const ServerStartTimes::Moment& moment);
    void forget_request(RequestId id);
    void forget_server(ServerId id);

    void due(Millis at, std::variant<AttemptLimit, TimerToken> what);
    // What a timer does when it has run out. One that did so just before the sidecar's end, and whose turn
    // comes only after it, does nothing.
    template <class Work>
    auto unless_over(Work work) const {
        return [life = std::weak_ptr<const void>(life_), work](boost::system::error_code cancelled) {
            if (!cancelled && !life.expired()) work();
        };
    }
    void run_due();
    void arm();

    boost::asio::io_context& io_;
    config::Config config_;
    net::Clock clock_;
    Balancer balancer_;
    std::shared_ptr<net::BufferBudget> budget_ = std::make_shared<net::BufferBudget>();
    std::deque<Event> events_;  // what happened while actions were carried out
    bool handling_ = false;
    std::vector<Action> actions_;
    std::unordered_map<RequestId, Request> requests_;
    std::map<ServerId, Server> servers_;
    std::unordered_map<std::string, ServerId> server_ids_;
    ServerId next_server_ = 1;
    ServerStartTimes start_times_;
    std::optional<Millis> discovery_moved_at_;  // none: it has not
    std::priority_queue<Due> due_;
    std::uint64_t next_due_ = 0;
    boost::asio::steady_timer timer_;
    UpstreamPool upstream_;
    std::optional<Discovery> discovery_;
    std::optional<Peers> peers_;
    std::optional<OperatorListener> operators_;
    std::optional<cluster::Agent> cluster_;
    net::LogLimit rejected_{std::chrono::seconds(1)};  // a flood of bad datagrams writes a line a second
    std::optional<HotRestartLock> hot_restart_lock_;
    boost::asio::steady_timer hot_restart_timer_, listen_timer_;
    OtherProcess other_process_ = OtherProcess::alone;
    bool halved_ = false;     // another process of this sidecar has the other half, or may have it
    std::size_t listed_ = 0;  // of servers_
    Metrics metrics_;
    std::unordered_map<RequestId, Flight> flights_;
    std::optional<DownstreamListener> listener_;
    boost::asio::steady_timer last_call_;  // of a drain
    boost::asio::steady_timer overdue_timer_;
    RequestId doubtful_up_to_ = 0;  // held when something failed last: this request and those before it
    std::function<void()> drained_;
    Millis drain_ends_ = 0;  // none: no drain
    std::shared_ptr<const void> life_ = std::make_shared<const char>();
};

}  // namespace mothring::node
