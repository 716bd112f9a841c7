/// @file
/// The events that a Balancer handles. The caller must pass them in the order in which they happen.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "mothring/types.hpp"

namespace mothring {

/// The state of a server in the endpoint list.
enum class EndpointState {
    active,    ///< Accepts requests.
    draining,  ///< Finishes the requests it has; must get no new ones.
    removed    ///< No longer exists.
};

/// An entry of the endpoint list.
struct EndpointInfo {
    ServerId id = 0;
    ZoneId zone = 0;
    /// The group of servers that DedupScope::cell refers to.
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::active;
    /// The time of the server's last start; 0 means long ago.
    Millis started_at = 0;
    /// The kind of the server's machine.
    KindId kind = 0;
    /// A hash of the server's name, which is the same at every sidecar. It determines the rank of the server
    /// for an affinity key.
    std::uint64_t name_hash = 0;
};

/// The contents of an EndpointList.
enum class ListKind {
    incremental,  ///< The entries that changed.
    full,         ///< All entries; a server without an entry has been removed.
    cached,       ///< All entries as known before this process started; may be out of date.
    failed        ///< No entries: a call failed or the subscription broke, and the previous list stays valid.
};

/// How a call to discovery failed.
enum class ListFailure {
    unreachable,  ///< No connection was accepted.
    rejected,     ///< Discovery responded that it cannot handle the call now.
    broken,       ///< The connection ended without a response or with a malformed one, or the call could not
                  ///< be made because a local resource was exhausted.
    timed_out     ///< No response in time.
};

/// How an attempt, or a health check, ended.
enum class Outcome {
    completed,
    failed,           ///< The server reported an error; the request may have run.
    invalid_request,  ///< The request itself is invalid, and every server would reject it; it may have run.
    overloaded,       ///< Rejected for lack of capacity; never ran, unless Settings::overloaded_may_have_run.
    timed_out,        ///< No response in time; the request may have run or may still be running.
    connect_failed,   ///< No connection could be established; the request never ran.
    connection_lost,  ///< The connection was lost during the attempt; the request may have run.
    cancelled,        ///< Cancelled by this sidecar; the request may have run.
    not_sent          ///< Never sent; the request never ran.
};

/// The first event after a start. A list of ListKind::cached follows.
struct Started {};

/// The servers that discovery lists, a change of them, or a failure to get them.
struct EndpointList {
    ListKind kind = ListKind::full;
    std::vector<EndpointInfo> servers{};
    /// For ListKind::failed: the time from now after which changes that are missing in the current list count
    /// as notified. A value below 0 means that they already do. Absent if not known.
    std::optional<Millis> notified_within{};
    /// For ListKind::failed.
    ListFailure failure = ListFailure::rejected;
    /// For ListKind::failed: the Retry-After that discovery sent.
    std::optional<Millis> retry_after{};
};

/// An attempt at a request that came before under the same id, or at another process of this sidecar.
struct EarlierAttempt {
    /// EndpointInfo::name_hash of its server.
    std::uint64_t server_name_hash = 0;
    /// The time since it was sent.
    Millis age = 0;
};

/// A request from a client. The balancer gives it exactly one final answer.
struct RequestArrived {
    RequestId id = 0;
    /// The index into Settings::classes. A request with an index out of range is treated as non-idempotent.
    std::uint32_t class_index = 0;
    /// The time until the client gives up.
    Millis time_left = 0;
    /// The expected work, as time on a standard core; 0 if not known.
    Millis effort = 0;
    /// Whether the request is known to be a client's retry of an earlier one.
    bool is_retry = false;
    /// The index into Settings::tenant_quotas. A request with an index out of range has no tenant.
    std::uint32_t tenant = ~0U;
    /// Whether the last byte of the request has not arrived yet. BodyComplete follows, and time_left then
    /// counts from that event.
    bool body_incomplete = false;
    /// A hash of the request's affinity key, which is the same at every sidecar; 0 if it has none.
    std::uint64_t affinity_hash = 0;
    /// An earlier attempt that has ended and may have run the request.
    std::optional<EarlierAttempt> earlier_attempt{};
};

/// The last byte of a request has arrived (see RequestArrived::body_incomplete).
struct BodyComplete {
    RequestId id = 0;
    Millis time_left = 0;
};

/// The part of a request's body that was already sent is no longer stored, so no further attempt is possible.
struct BodyDiscarded {
    RequestId id = 0;
};

/// A streamed response has started. The client has received its head, so this attempt gives the final answer.
struct ResponseStarted {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// The server has paused for long within a streamed response. The attempt goes on, but it no longer counts as
/// in flight for admission control: a server that is silent would otherwise block other requests.
struct ResponseStalled {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// An attempt has ended.
struct AttemptEnded {
    RequestId id = 0;
    /// The number of the attempt. Attempts of one request count from 0 in the order of their SendAttempt
    /// actions.
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::completed;
    Millis duration = 0;
    /// Whether the client has received its final answer, from this attempt or earlier.
    bool request_ended = false;
};

/// The client has disconnected and no longer needs an answer.
struct ClientDisconnected {
    RequestId id = 0;
};

/// A timer that SetTimer requested has expired.
struct TimerFired {
    TimerToken token = 0;
};

/// A health check has ended. The simulator's protocol defines this event; the balancer ignores it.
struct HealthCheckEnded {
    ServerId server = 0;
    Outcome outcome = Outcome::completed;
    Millis duration = 0;
};

/// A message from another sidecar. The simulator's protocol defines this event; the balancer ignores it.
struct PeerMessage {
    std::uint32_t from = 0;
    std::vector<std::uint8_t> bytes{};
};

/// Whether a second process of this sidecar runs alongside this one, as in a hot restart. Both processes then
/// share this sidecar's part of the fleet's limits.
struct ProcessOverlap {
    bool overlapping = false;
};

/// The sidecars that are present according to this sidecar's view of the membership. Without a quorum, or
/// before the first view, Settings::fleet_size is used instead.
struct MemberView {
    /// The number of sidecars present, including this one.
    std::uint32_t present = 1;
    /// Whether more than half of the expected members are present.
    bool quorum = false;
};

using Event = std::variant<Started, EndpointList, RequestArrived, ResponseStarted, AttemptEnded,
                           ClientDisconnected, TimerFired, HealthCheckEnded, PeerMessage, ProcessOverlap,
                           BodyComplete, BodyDiscarded, MemberView, ResponseStalled>;

}  // namespace mothring
