#include "node/in_flight_requests.hpp"

namespace mothring::node {

void InFlightRequests::add(RequestId id, std::uint32_t class_index) {
    requests_[id].class_index = class_index;
}

void InFlightRequests::set_outcome(RequestId id, std::uint32_t class_index, RequestOutcome outcome) {
    InFlight& request = requests_[id];
    request.class_index = class_index;
    request.outcome = outcome;
}

void InFlightRequests::complete(RequestId id, bool is_complete) {
    const auto request = requests_.find(id);
    if (request == requests_.end()) return;
    metrics_.count(request->second.class_index,
                   is_complete ? request->second.outcome : RequestOutcome::failed);
    requests_.erase(request);
}

}  // namespace mothring::node
