#include "endpoint_set.hpp"

#include <algorithm>

#include "warm_up.hpp"

namespace mothring {

namespace {

/// A change that a failed call to discovery has missed counts as notified this long after discovery had it.
constexpr Millis kNotificationDelay = 6000;

bool by_id(const Endpoint* left, const Endpoint* right) { return left->info.id < right->info.id; }

/// Inserts an endpoint into a sorted index if `is_included`, and erases it from the index otherwise.
void set_member(std::vector<Endpoint*>& index, Endpoint& endpoint, bool is_included) {
    if (is_included && (index.empty() || by_id(index.back(), &endpoint))) {
        index.push_back(&endpoint);
        return;
    }
    const auto position = std::lower_bound(index.begin(), index.end(), &endpoint, by_id);
    const bool is_member = position != index.end() && *position == &endpoint;
    if (is_included && !is_member) index.insert(position, &endpoint);
    if (!is_included && is_member) index.erase(position);
}

}  // namespace

void EndpointSet::unlist_all() {
    for (auto& [id, endpoint] : endpoints_) endpoint.listed = false;
}

EndpointSet::Update EndpointSet::update(const EndpointInfo& info) {
    const auto [entry, is_new] = endpoints_.try_emplace(info.id);
    Endpoint& endpoint = entry->second;
    const bool is_new_process = is_new || info.started_at > endpoint.info.started_at;
    endpoint.info = info;
    endpoint.listed = info.state != EndpointState::removed;
    return {endpoint, is_new_process};
}

std::vector<ServerId> EndpointSet::update_indexes(const EndpointList& list, Millis now) {
    prune_subset();
    std::sort(subset_.begin(), subset_.end(), by_id);
    subset_.erase(std::unique(subset_.begin(), subset_.end()), subset_.end());
    std::erase_if(warming_up_, [&](const Endpoint* endpoint) { return !is_warming_up(*endpoint, now); });

    std::vector<ServerId> gone;
    // A large fleet has many incremental lists, each of a few servers. Only those servers are indexed again,
    // as a pass over all servers for each list would cost too much.
    if (list.kind == ListKind::incremental) {
        for (const EndpointInfo& info : list.servers) {
            Endpoint* const endpoint = find(info.id);
            if (!endpoint) continue;
            index(*endpoint, now);
            if (erase_if_unused(info.id)) gone.push_back(info.id);
        }
        return gone;
    }
    active_.clear();
    warming_up_.clear();
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
        const ServerId id = entry->first;
        Endpoint& endpoint = entry->second;
        ++entry;  // the endpoint may be erased
        index(endpoint, now);
        if (erase_if_unused(id)) gone.push_back(id);
    }
    return gone;
}

void EndpointSet::index(Endpoint& endpoint, Millis now) {
    const bool is_active = endpoint.is_active();
    set_member(active_, endpoint, is_active);
    set_member(warming_up_, endpoint, is_active && is_warming_up(endpoint, now));
    std::optional<KindId>& counted_as = endpoint.index.active_kind;
    if (counted_as) --active_by_kind_[*counted_as];
    counted_as = is_active ? std::optional(endpoint.info.kind) : std::nullopt;
    if (counted_as) ++active_by_kind_[*counted_as];
}

bool EndpointSet::erase_if_unused(ServerId id) {
    const auto entry = endpoints_.find(id);
    if (entry == endpoints_.end()) return false;
    Endpoint& endpoint = entry->second;
    if (endpoint.listed || endpoint.in_flight > 0) return false;
    std::erase(subset_, &endpoint);
    set_member(with_completions_, endpoint, false);
    endpoints_.erase(entry);
    return true;
}

bool EndpointSet::is_known_present(const Endpoint& endpoint, Millis now) const {
    if (!is_stale(now)) return true;
    // A server that completed an attempt sent within the last kNotificationDelay was not draining at that
    // time, and a drain that began later does not count as notified yet. A server that has failed since the
    // list was last up to date may have been removed in the meantime.
    return endpoint.activity.suspected_at < stale_at_ - kNotificationDelay &&
           now < endpoint.activity.accepted_at + kNotificationDelay;
}

void EndpointSet::join_subset(Endpoint& endpoint) {
    if (!endpoint.index.in_subset) subset_.push_back(&endpoint);
    endpoint.index.in_subset = true;
}

void EndpointSet::prune_subset() {
    std::erase_if(subset_, [](const Endpoint* endpoint) { return !endpoint->index.in_subset; });
}

void EndpointSet::record_completion(Endpoint& endpoint, Millis now) {
    if (endpoint.completed.value() == 0) set_member(with_completions_, endpoint, true);
    endpoint.completed.add(1, now);
}

bool EndpointSet::is_warming_up(const Endpoint& endpoint, Millis now) const {
    return mothring::is_warming_up(endpoint.info, settings_, now);
}

bool EndpointSet::is_active_and_warm(const Endpoint& endpoint, Millis now) const {
    return endpoint.index.active_kind && !is_warming_up(endpoint, now);
}

Endpoint* EndpointSet::find(ServerId id) {
    const auto entry = endpoints_.find(id);
    return entry == endpoints_.end() ? nullptr : &entry->second;
}

}  // namespace mothring
