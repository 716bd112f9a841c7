/// @file
/// An example of how a sidecar uses mothring: it delivers events with their times and executes the actions.
/// In this example the first attempt of a request fails without having run, and the second one is completed
/// by another server.
#include <iostream>

#include "mothring/balancer.hpp"

using namespace mothring;

int main() {
    Settings settings;
    RequestClass read;
    read.idempotency = Idempotency::always;
    read.latency_objective = 200;
    settings.classes = {read};
    Balancer balancer(settings, /*seed=*/42);

    std::vector<Action> actions;
    balancer.handle(1000, Started{}, actions);
    balancer.handle(1000, EndpointList{ListKind::full, {{/*id=*/1}, {/*id=*/2}}}, actions);
    balancer.handle(1010, RequestArrived{/*id=*/7, /*class_index=*/0, /*time_left=*/500}, actions);

    std::uint32_t attempt = 0;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const Action action = actions[i];  // a copy, as handle() may reallocate the vector
        if (const auto* send = std::get_if<SendAttempt>(&action)) {
            std::cout << "send request " << send->id << " to server " << send->server << '\n';
            AttemptEnded ended{send->id, attempt++};
            ended.outcome = attempt == 1 ? Outcome::connect_failed : Outcome::completed;
            ended.request_ended = ended.outcome == Outcome::completed;
            balancer.handle(1010 + 20 * attempt, ended, actions);
        } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
            std::cout << "timer at " << timer->at << '\n';  // deliver TimerFired{timer->token} then
        }
    }
    return attempt == 2 && balancer.gauges().requests == 0 ? 0 : 1;
}
