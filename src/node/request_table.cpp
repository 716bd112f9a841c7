#include "node/request_table.hpp"

#include <algorithm>

namespace mothring::node {

bool Request::has_attempt_in_flight() const {
    return std::ranges::any_of(attempts, [](const Attempt& attempt) { return attempt.in_flight; });
}

Request* RequestTable::find(RequestId id) {
    const auto at = requests_.find(id);
    return at == requests_.end() ? nullptr : &at->second;
}

Request* RequestTable::find_open(RequestId id) {
    Request* const request = find(id);
    return request == nullptr || request->has_ended ? nullptr : request;
}

void RequestTable::forget_if_done(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    const Request& request = at->second;
    if (request.has_ended && !request.has_attempt_in_flight()) requests_.erase(at);
}

}  // namespace mothring::node
