#include "request_table.hpp"

#include <algorithm>

namespace mothring {

Request* RequestTable::add(RequestId id) {
    const auto [entry, is_new] = requests_.try_emplace(id);
    if (!is_new) return nullptr;
    Request& request = entry->second;
    request.id = id;
    request.arrival = arrivals_++;
    return &request;
}

Request* RequestTable::find(RequestId id) {
    const auto entry = requests_.find(id);
    return entry == requests_.end() ? nullptr : &entry->second;
}

void RequestTable::forget_finished() {
    for (const RequestId id : finished_) {
        const auto entry = requests_.find(id);
        if (entry == requests_.end()) continue;
        const Request& request = entry->second;
        if (request.has_final_answer && !request.is_in_flight()) requests_.erase(entry);
    }
    finished_.clear();
}

std::vector<RequestId> RequestTable::take_waiting() {
    std::vector<RequestId> waiting;
    waiting.swap(waiting_);
    std::erase_if(waiting, [&](RequestId id) {
        const Request* const request = find(id);
        return !request || request->has_final_answer || request->is_in_flight();
    });
    std::sort(waiting.begin(), waiting.end(), [&](RequestId left_id, RequestId right_id) {
        const Request& left = requests_.at(left_id);
        const Request& right = requests_.at(right_id);
        const double left_weight = left.request_class.priority_weight;
        const double right_weight = right.request_class.priority_weight;
        return left_weight != right_weight ? left_weight > right_weight : left.arrival > right.arrival;
    });
    return waiting;
}

TimerToken RequestTable::add_timer(std::optional<RequestId> request) {
    timers_[next_token_] = {request};
    return next_token_++;
}

std::optional<RequestTable::Timer> RequestTable::take_timer(TimerToken token) {
    const auto entry = timers_.find(token);
    if (entry == timers_.end()) return std::nullopt;
    const Timer timer = entry->second;
    timers_.erase(entry);
    return timer;
}

}  // namespace mothring
