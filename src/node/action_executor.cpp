#include "node/action_executor.hpp"

#include <cmath>
#include <variant>

#include "net/log.hpp"

namespace mothring::node {

void ActionExecutor::execute(const Action& action) {
    std::visit([this](const auto& specific) { carry_out(specific); }, action);
}

void ActionExecutor::carry_out(const SendToPeer& action) {
    if (parts_.peers) parts_.peers->send(action.to, action.bytes);
}

void ActionExecutor::carry_out(const EndpointEjected& action) {
    net::log(net::LogLevel::info, "endpoint.ejected",
             {{"server", parts_.endpoints.name_of(action.server)},
              {"for_ms", std::round(action.until - parts_.clock.now())}});
}

void ActionExecutor::carry_out(const EndpointRestored& action) {
    net::log(net::LogLevel::info, "endpoint.restored", {{"server", parts_.endpoints.name_of(action.server)}});
}

}  // namespace mothring::node
