/// @file
/// Forwards the clients' requests to servers and the responses to the clients.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "config/config.hpp"
#include "mothring/actions.hpp"
#include "net/clock.hpp"
#include "node/attempt_history.hpp"
#include "node/downstream_listener.hpp"
#include "node/endpoint_directory.hpp"
#include "node/event_loop.hpp"
#include "node/graceful_shutdown.hpp"
#include "node/in_flight_requests.hpp"
#include "node/request_table.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// References to the objects that the forwarder uses; they must outlive the forwarder.
struct RequestForwarderParts {
    const config::Config& config;
    const net::Clock& clock;
    EventLoop& loop;
    RequestTable& requests;
    InFlightRequests& in_flight;
    EndpointDirectory& endpoints;
    UpstreamPool& upstream;
    const GracefulShutdown& shutdown;
    AttemptHistory& history;
    /// Must hold a value while the table contains a request.
    std::optional<DownstreamListener>& listener;
};

/// Reports events of requests and attempts to the Balancer, and executes the Balancer's actions on them. The
/// Balancer makes all decisions except the final check right before a request is sent.
class RequestForwarder {
public:
    explicit RequestForwarder(const RequestForwarderParts& parts) : parts_(parts) {}

    /// Handles a new request, whose body may be incomplete.
    void on_request(DownstreamListener::IncomingRequest incoming);
    /// Handles the last byte of a request that was incomplete on arrival.
    void on_body_complete(RequestId id);
    /// Handles the deadline of a request that cannot be read to its last byte because its server takes no
    /// more of it.
    void on_body_overdue(RequestId id);
    /// Handles the disconnection of a request's client.
    void on_client_disconnected(RequestId id);
    /// Times out an attempt at its deadline. An attempt whose response is being streamed continues.
    void on_attempt_deadline(const AttemptDeadline& deadline);

    /// Handles a long pause of the server within a streamed response. The attempt continues.
    void on_response_stalled(RequestId id);

    /// Sends a request to a server.
    void send(const SendAttempt& send);
    /// Cancels an attempt.
    void cancel(const CancelAttempt& cancel);
    /// Responds with 503, and with Retry-After if the action states one.
    void reject(const RejectRequest& rejected);
    /// Responds with 502, or with 504 if the deadline of the request has passed.
    void fail(const FailRequest& failed);
    /// Responds with 504 to a request that is past its deadline, and ends its attempts.
    void time_out(RequestId id);

private:
    /// Identifies an attempt.
    struct AttemptKey {
        RequestId request = 0;
        std::uint32_t attempt = 0;
    };

    bool is_remembered(std::uint32_t class_index) const;
    std::optional<AttemptHistory::Entry> find_earlier(const DownstreamListener::IncomingRequest& incoming,
                                                      std::uint32_t class_index) const;
    void record_end(Request& request, Outcome outcome);
    void admit(const RequestArrived& arrival);
    void respond(RequestId id, DownstreamListener::Response response);
    void send_response(RequestId id, DownstreamListener::Response response);

    UpstreamPool::Request upstream_request(const SendAttempt& send, const Request& request);
    void start_exchange(const SendAttempt& send, Request& request, UpstreamPool::Request outgoing);
    void log_chosen(const SendAttempt& send, const Request& request) const;
    bool may_begin(const SendAttempt& send, UpstreamPool::RequestHead& head);
    static Millis deadline_of(const SendAttempt& send, const Request& request);

    void on_response_started(const AttemptKey& key, DownstreamListener::ResponseHead head,
                             std::shared_ptr<net::BodyBuffer> body);
    void fail_long_response(const AttemptKey& key);
    void end_attempt(const AttemptKey& key, Outcome outcome, UpstreamPool::Response response = {});
    void time_out_attempt(const AttemptKey& key);
    /// Times out those of the first `count` attempts whose response has not started.
    void time_out_attempts(RequestId id, std::size_t count);
    /// Cancels those of the first `count` attempts that must not or cannot be completed without the client.
    void stop_attempts_without_client(RequestId id, std::size_t count);
    template <class Work>
    void for_each_in_flight(RequestId id, std::size_t count, Work work);

    RequestForwarderParts parts_;
};

}  // namespace mothring::node
