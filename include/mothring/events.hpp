/// @file
/// What a Balancer is told, in the order in which it happens.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "mothring/types.hpp"

namespace mothring {

/// The state of a server in the endpoint list.
enum class EndpointState {
    active,    ///< Takes requests.
    draining,  ///< Finishes what it has; is sent nothing new.
    removed    ///< Gone.
};

/// An entry of the endpoint list.
struct EndpointInfo {
    ServerId id = 0;
    ZoneId zone = 0;
    /// The group of servers of DedupScope::cell.
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::active;
    /// When the server last started; 0: long ago.
    Millis started_at = 0;
    /// The kind of its machine.
    KindId kind = 0;
    /// A hash of its name, the same at every sidecar; ranks the servers of an affinity key.
    std::uint64_t name_hash = 0;
};

/// What an EndpointList holds.
enum class ListKind {
    incremental,  ///< The entries that changed.
    full,         ///< All entries; a server without one has been removed.
    cached,       ///< All entries as known before this start; may be out of date.
    failed        ///< None: a call failed or the subscription broke, and the list known stays in force.
};

/// How a call to discovery failed.
enum class ListFailure {
    unreachable,  ///< No connection was accepted.
    rejected,     ///< Discovery answered that it can't handle the call now.
    broken,       ///< The connection ended without a response, or with one that can't be read; or the call
                  ///< could not be made for want of a local resource.
    timed_out     ///< No response in time.
};

/// How an attempt, or a health check, ended.
enum class Outcome {
    completed,
    failed,           ///< The server reported an error; it may have run.
    invalid_request,  ///< The server rejects the request itself, as any server would; it may have run.
    overloaded,       ///< Rejected for want of capacity; never ran, unless Settings::overloaded_may_have_run.
    timed_out,        ///< No response in time; it may have run or be running.
    connect_failed,   ///< No connection; never ran.
    connection_lost,  ///< The connection was lost while it was in flight; it may have run.
    cancelled,        ///< Withdrawn by this sidecar; it may have run.
    not_sent          ///< Never sent; never ran.
};

/// The first event after a start; a list of ListKind::cached follows.
struct Started {};

/// The servers that discovery lists, or a change of them.
struct EndpointList {
    ListKind kind = ListKind::full;
    std::vector<EndpointInfo> servers{};
    /// For ListKind::failed: after this time, changes that the list in force lacks count as notified; below
    /// 0: they do already. Absent: not known.
    std::optional<Millis> notified_within{};
    /// For ListKind::failed.
    ListFailure failure = ListFailure::rejected;
    /// For ListKind::failed: the Retry-After that discovery asks for.
    std::optional<Millis> retry_after{};
};

/// A client's request. It is owed exactly one final answer.
struct RequestArrived {
    RequestId id = 0;
    /// Index into Settings::classes; out of range: handled with the greatest care.
    std::uint32_t class_index = 0;
    /// Until the client gives up.
    Millis time_left = 0;
    /// The expected work, as time on a standard core; 0: not known.
    Millis effort = 0;
    /// Known to be the client's retry of an earlier request.
    bool is_retry = false;
    /// Index into Settings::tenant_quotas; out of range: none.
    std::uint32_t tenant = ~0U;
    /// Its last byte is yet to come (BodyComplete), and time_left counts from there.
    bool body_incomplete = false;
    /// A hash of its affinity key, the same at every sidecar; 0: it has none.
    std::uint64_t affinity_hash = 0;
};

/// The last byte of a request that arrived incomplete.
struct BodyComplete {
    RequestId id = 0;
    Millis time_left = 0;
};

/// What has been sent of a request's body is not stored any more: there can be no further attempt.
struct BodyDiscarded {
    RequestId id = 0;
};

/// A streamed response has begun; the client has its head, and the attempt is its final answer.
struct ResponseStarted {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// An attempt has ended.
struct AttemptEnded {
    RequestId id = 0;
    /// Attempts of one request count from 0 in the order of their SendAttempt.
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::completed;
    Millis duration = 0;
    /// The client has its final answer, by this attempt or before.
    bool request_ended = false;
};

/// The client has left. No answer is owed any more.
struct ClientDisconnected {
    RequestId id = 0;
};

/// A timer set by SetTimer has run out.
struct TimerFired {
    TimerToken token = 0;
};

/// A health check has ended. The simulator's wire defines it; no decision uses it.
struct HealthCheckEnded {
    ServerId server = 0;
    Outcome outcome = Outcome::completed;
    Millis duration = 0;
};

/// A message from another sidecar. The simulator's wire defines it; no decision uses it.
struct PeerMessage {
    std::uint32_t from = 0;
    std::vector<std::uint8_t> bytes{};
};

/// Whether a second process of this sidecar runs beside this one, as in a hot restart: what the fleet shares
/// out then has one more taker.
struct ProcessOverlap {
    bool overlapping = false;
};

/// Which sidecars are present, in this one's own view of the membership. Without a quorum the view is
/// ignored, and Settings::fleet_size counts, as where no view is ever given.
struct MemberView {
    /// This sidecar included.
    std::uint32_t present = 1;
    /// More than half of the members expected are present.
    bool quorum = false;
};

using Event = std::variant<Started, EndpointList, RequestArrived, ResponseStarted, AttemptEnded,
                           ClientDisconnected, TimerFired, HealthCheckEnded, PeerMessage, ProcessOverlap,
                           BodyComplete, BodyDiscarded, MemberView>;

}  // namespace mothring
