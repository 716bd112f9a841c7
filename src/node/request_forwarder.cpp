#include "node/request_forwarder.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "net/log.hpp"
#include "node/forwarded_message.hpp"
#include "node/request_classification.hpp"

namespace mothring::node {

namespace http = boost::beast::http;

namespace {

std::string request_id_of(const DownstreamListener::RequestHead& head) {
    return std::string(head["Request-Id"]);
}

}  // namespace

// ---- Requests ---------------------------------------------------------------------------------------------

void RequestForwarder::on_request(DownstreamListener::IncomingRequest incoming) {
    const Site& site = parts_.config.site;
    RequestArrived event;
    event.id = incoming.id;
    event.class_index = site.class_index(incoming.class_name);
    // A request of an unknown class, or without the form of its class, is rejected without an attempt. No
    // server could process it, and it is not known whether it may run more than once.
    const auto& classes = site.settings.classes;
    if (event.class_index >= classes.size())
        return parts_.listener->respond(incoming.id, empty_response(http::status::not_found));
    if (!has_form_of_class(classes[event.class_index], *incoming.message, incoming.body != nullptr))
        return parts_.listener->respond(incoming.id, empty_response(http::status::bad_request));
    const auto earlier = find_earlier(incoming, event.class_index);
    if (earlier && earlier->in_flight) {
        net::log(net::LogLevel::info, "request.repeated", {{"request", request_id_of(*incoming.message)}});
        return parts_.listener->respond(incoming.id, empty_response(http::status::conflict));
    }
    if (earlier) event.earlier_attempt = EarlierAttempt{earlier->server, earlier->age};
    if (!incoming.tenant.empty()) event.tenant = site.tenant_index(incoming.tenant);
    event.time_left = parts_.shutdown.limit(incoming.time_left);
    event.effort = incoming.effort;
    event.is_retry = incoming.is_retry;
    event.body_incomplete = incoming.body && !incoming.body->is_complete();
    event.affinity_hash = affinity_hash_of(parts_.config.affinity, incoming.class_name, *incoming.message);
    Request& request = parts_.requests.add(incoming.id);
    request.head = std::move(incoming.message);
    request.body = std::move(incoming.body);
    request.class_index = event.class_index;
    request.time_left = incoming.time_left;
    request.may_have_run = earlier.has_value();
    admit(event);
}

// Returns what is known of an earlier request with the same id. Requests that may run any number of times are
// not remembered.
std::optional<AttemptHistory::Entry> RequestForwarder::find_earlier(
    const DownstreamListener::IncomingRequest& incoming, std::uint32_t class_index) const {
    if (!is_remembered(class_index)) return std::nullopt;
    return parts_.history.find(request_id_of(*incoming.message));
}

bool RequestForwarder::is_remembered(std::uint32_t class_index) const {
    return parts_.config.site.settings.classes[class_index].idempotency != Idempotency::always;
}

// Records the end of an attempt, and that of the request if it has no other one in flight and none that may
// have run.
void RequestForwarder::record_end(Request& request, Outcome outcome) {
    if (!is_remembered(request.class_index)) return;
    const Settings& settings = parts_.config.site.settings;
    const bool never_ran = outcome == Outcome::connect_failed || outcome == Outcome::not_sent ||
                           (outcome == Outcome::overloaded && !settings.overloaded_may_have_run);
    request.may_have_run = request.may_have_run || !never_ran;
    if (request.has_attempt_in_flight()) return;
    if (request.may_have_run)
        parts_.history.end(request_id_of(*request.head));
    else
        parts_.history.remove(request_id_of(*request.head));
}

// Reports a new request to the Balancer. An incomplete request counts as in flight from its last byte on, and
// its time starts with that byte.
void RequestForwarder::admit(const RequestArrived& arrival) {
    if (!arrival.body_incomplete) {
        Request& request = *parts_.requests.find(arrival.id);
        request.complete_at = parts_.clock.now();
        request.deadline = request.complete_at + arrival.time_left;
        parts_.in_flight.add(arrival.id, arrival.class_index);
    }
    parts_.loop.handle(arrival);
}

void RequestForwarder::on_body_complete(RequestId id) {
    Request* const request = parts_.requests.find_open(id);
    if (request == nullptr) return;
    request->complete_at = parts_.clock.now();
    const Millis unread_time = parts_.listener->unread_time(id);
    request->time_left = parts_.shutdown.limit(std::max(0.0, request->time_left - unread_time));
    request->deadline = request->complete_at + request->time_left;
    parts_.in_flight.add(id, request->class_index);
    for (std::uint32_t number = 0; number < request->attempts.size(); ++number)
        if (request->attempts[number].in_flight)
            parts_.loop.schedule(request->deadline, AttemptDeadline{id, number});
    parts_.loop.handle(BodyComplete{id, request->time_left});
}

// The Balancer decides on the answer, as it does at the deadline of a complete request. The attempts are
// timed out first, so that their servers are recorded as the cause.
void RequestForwarder::on_body_overdue(RequestId id) {
    Request* const request = parts_.requests.find_open(id);
    if (request == nullptr) return;
    net::log(net::LogLevel::warn, "request.body_overdue",
             {{"request", request_id_of(*request->head)}, {"read", request->body->bytes_written()}});
    request->deadline = parts_.clock.now();
    const std::size_t attempt_count = request->attempts.size();
    parts_.loop.handle(BodyComplete{id, 0});
    time_out_attempts(id, attempt_count);
}

// Marks the request as ended first, so that no retry or timer sends another attempt for it. Most clients
// disconnect at their deadline, so attempts past the deadline are recorded as timed out, not as cancelled.
void RequestForwarder::on_client_disconnected(RequestId id) {
    Request* const request = parts_.requests.find_open(id);
    if (request == nullptr) return;
    request->has_ended = true;
    const std::size_t attempt_count = request->attempts.size();
    if (parts_.clock.now() >= request->deadline) time_out_attempts(id, attempt_count);
    parts_.loop.handle(ClientDisconnected{id});
    stop_attempts_without_client(id, attempt_count);
    parts_.requests.forget_if_done(id);
}

void RequestForwarder::reject(const RejectRequest& rejected) {
    respond(rejected.id, rejection(rejected.retry_after));
}

void RequestForwarder::fail(const FailRequest& failed) {
    const Request* const request = parts_.requests.find(failed.id);
    const bool is_late = request != nullptr && parts_.clock.now() >= request->deadline;
    respond(failed.id, empty_response(is_late ? http::status::gateway_timeout : http::status::bad_gateway));
}

void RequestForwarder::time_out(RequestId id) {
    send_response(id, empty_response(http::status::gateway_timeout));
    on_client_disconnected(id);
}

void RequestForwarder::respond(RequestId id, DownstreamListener::Response response) {
    Request* const request = parts_.requests.find_open(id);
    if (request == nullptr) return;
    request->has_ended = true;
    send_response(id, std::move(response));
    parts_.requests.forget_if_done(id);
}

void RequestForwarder::send_response(RequestId id, DownstreamListener::Response response) {
    parts_.in_flight.set_outcome(id, parts_.requests.at(id).class_index,
                                 outcome_of_status(response.result_int()));
    parts_.listener->respond(id, std::move(response));
}

// ---- Attempts ---------------------------------------------------------------------------------------------

void RequestForwarder::send(const SendAttempt& send) {
    Request* const request = parts_.requests.find(send.id);
    if (request == nullptr) return;
    const AttemptKey key{send.id, static_cast<std::uint32_t>(request->attempts.size())};
    const Millis deadline = deadline_of(send, *request);
    request->attempts.push_back({0, send.server, parts_.clock.now(), true});
    parts_.endpoints.add_attempt(send.server);
    if (request->body && !request->body->is_retained()) return end_attempt(key, Outcome::not_sent);
    UpstreamPool::Request outgoing = upstream_request(send, *request);
    if (!outgoing.may_begin(outgoing.message)) return end_attempt(key, Outcome::not_sent);
    start_exchange(send, *request, std::move(outgoing));
    log_chosen(send, *request);
    if (deadline < kNever) parts_.loop.schedule(deadline, AttemptDeadline{key.request, key.attempt});
}

UpstreamPool::Request RequestForwarder::upstream_request(const SendAttempt& send, const Request& request) {
    UpstreamPool::Request outgoing;
    outgoing.message = forwarded_head(*request.head);
    outgoing.may_begin = [this, send](UpstreamPool::RequestHead& head) { return may_begin(send, head); };
    outgoing.may_continue = [this, id = send.id] { return !parts_.listener->has_client_left(id); };
    return outgoing;
}

void RequestForwarder::start_exchange(const SendAttempt& send, Request& request,
                                      UpstreamPool::Request outgoing) {
    outgoing.body = request.body;
    if (request.body) request.body->rewind();
    const AttemptKey key{send.id, static_cast<std::uint32_t>(request.attempts.size() - 1)};
    request.attempts[key.attempt].exchange = parts_.upstream.start(
        send.server, std::move(outgoing),
        [this, key](Outcome outcome, UpstreamPool::Response response) {
            end_attempt(key, outcome, std::move(response));
        },
        [this, key](DownstreamListener::ResponseHead head, std::shared_ptr<net::BodyBuffer> body) {
            on_response_started(key, std::move(head), std::move(body));
        });
}

void RequestForwarder::log_chosen(const SendAttempt& send, const Request& request) const {
    if (!net::is_logged(net::LogLevel::debug)) return;
    net::log(net::LogLevel::debug, "attempt.chosen",
             {{"request", request_id_of(*request.head)}, {"server", parts_.endpoints.name_of(send.server)}});
}

Millis RequestForwarder::deadline_of(const SendAttempt& send, const Request& request) {
    return send.deadline > 0 ? std::min(send.deadline, request.deadline) : request.deadline;
}

// Decides whether the request may still be sent. Called when the server is chosen, and again when a
// connection has been established. Nothing is sent if the client has left, the server is draining, or the
// time is over. The time left is written to the head from the same clock reading, rounded down to whole
// milliseconds. The time of an incomplete request starts with its last byte, which may have arrived but not
// been read yet; the time for which bytes may have been unread is therefore subtracted.
bool RequestForwarder::may_begin(const SendAttempt& send, UpstreamPool::RequestHead& head) {
    const Request* const request = parts_.requests.find_open(send.id);
    if (request == nullptr || !parts_.endpoints.contains(send.server)) return false;
    if (parts_.listener->has_client_left(send.id)) {
        on_client_disconnected(send.id);
        return false;
    }
    // The unread bytes of an incomplete request are its own.
    if (request->is_complete() && parts_.listener->may_have_left_unseen(send.id)) return false;
    if (!parts_.endpoints.is_active(send.server)) return false;
    const Millis now = parts_.clock.now();
    const Millis unread_time = request->is_complete() ? 0 : parts_.listener->unread_time(send.id);
    const Millis until_deadline = deadline_of(send, *request) - now;
    const Millis time_left = std::floor(std::min(request->time_left - unread_time, until_deadline));
    if (time_left < 1 || (send.send_by > 0 && now >= send.send_by)) return false;
    set_time_left(head, time_left);
    if (is_remembered(request->class_index))
        parts_.history.add(request_id_of(*request->head), parts_.endpoints.name_of(send.server));
    return true;
}

void RequestForwarder::cancel(const CancelAttempt& cancel) {
    const Request* const request = parts_.requests.find(cancel.id);
    if (request == nullptr || cancel.attempt >= request->attempts.size()) return;
    const Attempt& attempt = request->attempts[cancel.attempt];
    if (!attempt.in_flight) return;
    parts_.upstream.cancel(attempt.exchange);
    end_attempt({cancel.id, cancel.attempt}, Outcome::cancelled);
}

void RequestForwarder::on_response_started(const AttemptKey& key, DownstreamListener::ResponseHead head,
                                           std::shared_ptr<net::BodyBuffer> body) {
    Request* const request = parts_.requests.find(key.request);
    if (request == nullptr) return;
    Attempt& attempt = request->attempts[key.attempt];
    if (!attempt.in_flight) return;
    if (request->has_ended) {  // The client has its response or has left.
        parts_.upstream.cancel(attempt.exchange);
        return end_attempt(key, Outcome::completed);
    }
    const Millis now = parts_.clock.now();
    if (parts_.shutdown.must_end_response(request->is_complete() ? request->complete_at : now))
        return fail_long_response(key);
    attempt.response_started_at = now;
    parts_.in_flight.set_outcome(key.request, request->class_index, RequestOutcome::served);
    parts_.loop.handle(ResponseStarted{key.request, key.attempt});
    parts_.listener->stream_response(key.request, std::move(head), std::move(body));
}

// A response that begins now may not end before the process is killed. The client can be told so only as long
// as nothing of the response has been sent.
void RequestForwarder::fail_long_response(const AttemptKey& key) {
    const Request& request = parts_.requests.at(key.request);
    const ExchangeId exchange = request.attempts[key.attempt].exchange;
    net::log(net::LogLevel::warn, "drain.long_response", {{"request", request_id_of(*request.head)}});
    respond(key.request, empty_response(http::status::bad_gateway));
    parts_.upstream.cancel(exchange);
    end_attempt(key, Outcome::completed);
}

void RequestForwarder::on_response_stalled(RequestId id) {
    const Request* const request = parts_.requests.find(id);
    if (request == nullptr) return;
    const std::string request_id = request_id_of(*request->head);
    for_each_in_flight(id, request->attempts.size(), [&](const AttemptKey& key, const Attempt& attempt) {
        if (!attempt.has_response_started()) return;
        net::log(net::LogLevel::info, "response.stalled",
                 {{"request", request_id}, {"server", parts_.endpoints.name_of(attempt.server)}});
        parts_.loop.handle(ResponseStalled{key.request, key.attempt});
    });
}

// The reported duration measures the server only. It starts with the sending of the attempt, or with the last
// byte of the request if that arrived later, and ends with the first byte of a streamed response or with the
// last byte of a buffered one.
void RequestForwarder::end_attempt(const AttemptKey& key, Outcome outcome, UpstreamPool::Response response) {
    Request* const request = parts_.requests.find(key.request);
    if (request == nullptr) return;
    Attempt& attempt = request->attempts[key.attempt];
    if (!attempt.in_flight) return;
    attempt.in_flight = false;
    record_end(*request, outcome);
    const Millis end = attempt.has_response_started() ? attempt.response_started_at : parts_.clock.now();
    const Millis duration = std::max(0.0, end - std::max(attempt.sent_at, request->complete_at));
    AttemptEnded event{key.request, key.attempt, outcome, duration, request->has_ended};
    if (request->body && !request->body->is_retained() && !request->has_ended)
        parts_.loop.handle(BodyDiscarded{key.request});
    const ServerId server = attempt.server;
    // A 4xx from the server (invalid_request) is also forwarded to the client as the final response.
    const bool is_final = outcome == Outcome::completed || outcome == Outcome::invalid_request;
    if (attempt.has_response_started()) {
        request->has_ended = true;
        event.request_ended = true;
    } else if (is_final && !request->has_ended) {
        DownstreamListener::Response forwarded = forwarded_response(std::move(response));
        request->has_ended = true;
        event.request_ended = true;
        send_response(key.request, std::move(forwarded));
    }
    parts_.requests.forget_if_done(key.request);
    parts_.endpoints.remove_attempt(server);
    parts_.loop.handle(event);
    parts_.endpoints.erase_if_unused(server);
}

void RequestForwarder::on_attempt_deadline(const AttemptDeadline& deadline) {
    const Request* const request = parts_.requests.find(deadline.request);
    if (request == nullptr) return;
    const Attempt& attempt = request->attempts[deadline.attempt];
    if (!attempt.in_flight || attempt.has_response_started()) return;
    time_out_attempt({deadline.request, deadline.attempt});
}

void RequestForwarder::time_out_attempt(const AttemptKey& key) {
    const ExchangeId exchange = parts_.requests.at(key.request).attempts[key.attempt].exchange;
    const bool was_written = parts_.upstream.cancel(exchange);
    end_attempt(key, was_written ? Outcome::timed_out : Outcome::connect_failed);
}

void RequestForwarder::time_out_attempts(RequestId id, std::size_t count) {
    for_each_in_flight(id, count, [this](const AttemptKey& key, const Attempt& attempt) {
        if (!attempt.has_response_started()) time_out_attempt(key);
    });
}

// Cancels the attempts that must not continue after the client has left. An attempt whose request has been
// sent completely continues, because the settings may forbid its cancellation. An incomplete request must not
// be completed any more. A streamed response cannot end without a client that reads it, and would only time
// out.
void RequestForwarder::stop_attempts_without_client(RequestId id, std::size_t count) {
    for_each_in_flight(id, count, [this](const AttemptKey& key, const Attempt& attempt) {
        const bool may_have_started = parts_.upstream.may_have_started(attempt.exchange);
        if (parts_.upstream.is_written(attempt.exchange) && !attempt.has_response_started()) return;
        parts_.upstream.cancel(attempt.exchange);
        end_attempt(key, may_have_started ? Outcome::cancelled : Outcome::not_sent);
    });
}

// Calls `work` for each attempt in flight. The request is looked up before each call because `work` may end
// attempts, and the request is erased with its last attempt.
template <class Work>
void RequestForwarder::for_each_in_flight(RequestId id, std::size_t count, Work work) {
    for (std::uint32_t number = 0; number < count; ++number) {
        const Request* const request = parts_.requests.find(id);
        if (request == nullptr) return;
        const Attempt& attempt = request->attempts[number];
        if (attempt.in_flight) work(AttemptKey{id, number}, attempt);
    }
}

}  // namespace mothring::node
