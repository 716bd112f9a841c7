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
#include "node/downstream_listener.hpp"
#include "node/endpoint_directory.hpp"
#include "node/event_loop.hpp"
#include "node/graceful_shutdown.hpp"
#include "node/in_flight_requests.hpp"
#include "node/request_table.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// What the forwarder works with; all of it must outlive the forwarder.
struct RequestForwarderParts {
    const config::Config& config;
    const net::Clock& clock;
    EventLoop& loop;
    RequestTable& requests;
    InFlightRequests& in_flight;
    EndpointDirectory& endpoints;
    UpstreamPool& upstream;
    const GracefulShutdown& shutdown;
    /// Present whenever there is a request.
    std::optional<DownstreamListener>& listener;
};

/// Reports what happens to requests and their attempts as events, and carries out the actions on them. The
/// forwarder decides nothing but what can be told only when a request is sent.
class RequestForwarder {
public:
    explicit RequestForwarder(const RequestForwarderParts& parts) : parts_(parts) {}

    /// A request has arrived; its body may be incomplete.
    void on_request(DownstreamListener::IncomingRequest incoming);
    /// The last byte of a request has arrived.
    void on_body_complete(RequestId id);
    /// The client of a request has closed its connection.
    void on_client_disconnected(RequestId id);
    /// The time of an attempt is over. One whose response has begun goes on as long as it comes.
    void on_attempt_deadline(const AttemptDeadline& deadline);

    void send(const SendAttempt& send);
    void cancel(const CancelAttempt& cancel);
    void reject(const RejectRequest& rejected);
    void fail(const FailRequest& failed);
    /// Ends a request that is past its deadline, with its attempts.
    void time_out(RequestId id);

private:
    /// Names an attempt.
    struct AttemptKey {
        RequestId request = 0;
        std::uint32_t attempt = 0;
    };

    void admit(const RequestArrived& arrival);
    void respond(RequestId id, DownstreamListener::Response response);
    void give_response(RequestId id, DownstreamListener::Response response);

    UpstreamPool::Request upstream_request(const SendAttempt& send, const Request& request);
    void start_exchange(const SendAttempt& send, Request& request, UpstreamPool::Request outgoing);
    void log_chosen(const SendAttempt& send, const Request& request) const;
    bool may_begin(const SendAttempt& send, UpstreamPool::RequestHead& head);
    static Millis deadline_of(const SendAttempt& send, const Request& request);

    void on_response_started(const AttemptKey& key, DownstreamListener::ResponseHead head,
                             std::shared_ptr<net::BodyBuffer> body);
    void end_attempt(const AttemptKey& key, Outcome outcome, UpstreamPool::Response response = {});
    void time_out_attempt(const AttemptKey& key);
    /// Of the first `count` attempts, those whose response has not begun.
    void time_out_attempts(RequestId id, std::size_t count);
    /// Of the first `count` attempts, those that must not or can't be completed without the client.
    void stop_attempts_without_client(RequestId id, std::size_t count);
    template <class Work>
    void for_each_in_flight(RequestId id, std::size_t count, Work work);

    RequestForwarderParts parts_;
};

}  // namespace mothring::node
