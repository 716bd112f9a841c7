#include "attempt_rules.hpp"

#include <algorithm>

#include "placement.hpp"
#include "warm_up.hpp"

namespace mothring {

namespace {

/// Returns whether two servers drop each other's repeats of an idempotency key.
bool share_dedup_scope(DedupScope scope, const EndpointInfo& left, const EndpointInfo& right) {
    switch (scope) {
        case DedupScope::all:
            return true;
        case DedupScope::zone:
            return left.zone == right.zone;
        case DedupScope::cell:
            return left.cell == right.cell;
    }
    return false;
}

}  // namespace

bool AttemptRules::may_send(const Request& request, Endpoint& endpoint, Millis now) const {
    if (!may_start_attempt(request, now)) return false;
    if (!placement_allows(settings_, request.class_index, endpoint.info)) return false;
    if (!endpoint.is_active()) return false;  // a draining server must get no new requests
    if (!allows_possible_repeat(request, endpoint.info, now)) return false;
    // The platform requires that a server that is warming up is not overloaded.
    return !is_warming_up(endpoint.info, settings_, now) || slow_start_.has_token(endpoint, now);
}

// Returns whether the request may have another attempt at any server. The platform requires that no attempt
// is sent once the request has its final answer.
bool AttemptRules::may_start_attempt(const Request& request, Millis now) const {
    if (request.has_final_answer || request.response_started || request.body_discarded) return false;
    if (now >= request.deadline || request.attempts.size() >= settings_.max_attempts) return false;
    if (!request.is_in_flight()) return true;
    return settings_.may_hedge && request.request_class.idempotency != Idempotency::never;
}

// Returns whether the request has certainly not run yet, or a repeat at the server is harmless. The platform
// requires that a request that may have run is repeated only if the repeat is harmless.
bool AttemptRules::allows_possible_repeat(const Request& request, const EndpointInfo& server, Millis now) {
    const RequestClass& request_class = request.request_class;
    if (request_class.idempotency == Idempotency::always) return true;
    const Attempt* const first = request.first_possible_run();
    if (!first) return true;
    if (request_class.idempotency == Idempotency::never) return false;
    if (now >= first->sent_at + request_class.dedup_window) return false;
    if (!share_dedup_scope(request_class.dedup_scope, first->server, server)) return false;
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
        return !attempt.may_have_run || share_dedup_scope(request_class.dedup_scope, attempt.server, server);
    });
}

bool AttemptRules::may_reject(const Request& request, Millis now) const {
    if (request.has_final_answer || request.response_started) return false;
    const RequestClass& request_class = request.request_class;
    const Attempt* const first = request.first_possible_run();
    if (!first || request_class.idempotency == Idempotency::always) return true;
    return request_class.idempotency == Idempotency::with_key &&
           request_class.dedup_scope == DedupScope::all && now < first->sent_at + request_class.dedup_window;
}

}  // namespace mothring
