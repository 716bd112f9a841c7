/// @file
/// Executes the Balancer's actions.
#pragma once

#include <optional>

#include "mothring/actions.hpp"
#include "net/clock.hpp"
#include "node/endpoint_directory.hpp"
#include "node/endpoint_list_updater.hpp"
#include "node/event_loop.hpp"
#include "node/health_checker.hpp"
#include "node/peers.hpp"
#include "node/request_forwarder.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// References to the objects that actions are dispatched to; they must outlive the executor.
struct ActionExecutorParts {
    const net::Clock& clock;
    EventLoop& loop;
    RequestForwarder& forwarder;
    HealthChecker& health_checker;
    UpstreamPool& upstream;
    EndpointListUpdater& endpoint_list;
    const EndpointDirectory& endpoints;
    /// If absent, messages to peers are dropped.
    std::optional<Peers>& peers;
};

/// Dispatches each action to the object that executes it.
class ActionExecutor {
public:
    explicit ActionExecutor(const ActionExecutorParts& parts) : parts_(parts) {}

    void execute(const Action& action);

private:
    void carry_out(const SendAttempt& action) { parts_.forwarder.send(action); }
    void carry_out(const CancelAttempt& action) { parts_.forwarder.cancel(action); }
    void carry_out(const RejectRequest& action) { parts_.forwarder.reject(action); }
    void carry_out(const FailRequest& action) { parts_.forwarder.fail(action); }
    void carry_out(const SetTimer& action) { parts_.loop.schedule(action.at, action.token); }
    void carry_out(const HealthCheck& action) { parts_.health_checker.check(action.server); }
    void carry_out(const CloseIdleConnections& action) { parts_.upstream.close_idle(action.server); }
    void carry_out(const SendToPeer& action);
    void carry_out(const Subscribe& action) { parts_.endpoint_list.watch(action.active); }
    void carry_out(const EndpointEjected& action);
    void carry_out(const EndpointRestored& action);

    ActionExecutorParts parts_;
};

}  // namespace mothring::node
