#include "endpoint_selector.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>

#include "placement.hpp"

namespace mothring {

namespace {

/// The number of servers in the subset beyond the number of attempts in flight. With a much larger subset, a
/// sidecar with little traffic would fill no server's success window.
constexpr double kSpareServers = 2;
/// Extra random draws beyond the number of candidates wanted, before the selection continues with fewer.
constexpr int kExtraDraws = 16;
/// The number of candidates for which memory is reserved in advance.
constexpr std::size_t kTypicalCandidates = 8;
/// A reserved server is used only if its expected relative latency is below this share of the best other
/// server's.
constexpr double kReservedAdvantage = 0.5;

/// Returns the rank of a server for a key. The rank is the same at every sidecar.
std::uint64_t rendezvous_rank(std::uint64_t key_hash, std::uint64_t server_hash) {
    const std::uint64_t words[] = {key_hash, server_hash};
    return XXH64(words, sizeof words, 0);
}

}  // namespace

Endpoint* EndpointSelector::select_for_trial(const Request& request, Millis now) {
    // While the list is stale, an ejected server may have left the pool. It is tried only if no server is
    // healthy.
    const auto is_healthy = [](const Endpoint* endpoint) { return endpoint->is_healthy(); };
    const std::vector<Endpoint*>& active = inputs_.endpoints.active();
    if (inputs_.endpoints.is_stale(now) && std::any_of(active.begin(), active.end(), is_healthy))
        return nullptr;
    for (const ServerId id : inputs_.outliers.ejected()) {
        Endpoint& endpoint = inputs_.endpoints.at(id);
        if (OutlierDetector::is_trial_due(endpoint, now) && inputs_.rules.may_send(request, endpoint, now))
            return &endpoint;
    }
    return nullptr;
}

Endpoint* EndpointSelector::select_by_affinity(const Request& request, bool admitted, Millis now) {
    double in_flight = 1;
    double healthy = 0;
    for (const Endpoint* endpoint : inputs_.endpoints.active()) {
        if (!endpoint->is_healthy()) continue;
        in_flight += endpoint->in_flight;
        ++healthy;
    }
    const double bound = std::max(kMinInFlightPerServer,
                                  inputs_.settings.affinity_load_bound * in_flight / std::max(1.0, healthy));
    Endpoint* best = nullptr;
    std::uint64_t best_rank = 0;
    for (Endpoint* endpoint : inputs_.endpoints.active()) {
        const std::uint64_t rank = rendezvous_rank(request.affinity_hash, endpoint->info.name_hash);
        if (best && rank <= best_rank) continue;
        if (endpoint->in_flight + 1 > bound) continue;
        if (!is_eligible_by_affinity(request, *endpoint, admitted, now)) continue;
        best = endpoint;
        best_rank = rank;
    }
    return best;
}

bool EndpointSelector::is_eligible_by_affinity(const Request& request, Endpoint& endpoint, bool admitted,
                                               Millis now) const {
    if (!endpoint.is_healthy() || is_doubtful(request, endpoint, now)) return false;
    if (!inputs_.endpoints.is_known_present(endpoint, now)) return false;
    if (!admitted && !inputs_.endpoints.is_warming_up(endpoint, now)) return false;
    return inputs_.rules.may_send(request, endpoint, now);
}

Endpoint* EndpointSelector::select(const Request& request, bool admitted, double in_flight, Millis now) {
    Selection selection{request, admitted, now};
    selection.candidates.preferred.reserve(kTypicalCandidates);
    add_subset_candidates(selection);
    if (admitted) {
        add_random_candidates(selection, in_flight + kSpareServers);
        if (selection.candidates.preferred.empty()) add_remaining_candidates(selection);
    }
    return choose_candidate(selection.candidates, now);
}

void EndpointSelector::add_candidate(Selection& selection, Endpoint& endpoint) {
    const Request& request = selection.request;
    const Millis now = selection.now;
    if (!endpoint.is_healthy()) return;
    if (!selection.admitted && !inputs_.endpoints.is_warming_up(endpoint, now)) return;
    if (!inputs_.rules.may_send(request, endpoint, now)) return;
    Candidates& candidates = selection.candidates;
    if (!inputs_.endpoints.is_known_present(endpoint, now))
        candidates.unconfirmed.push_back(&endpoint);
    else if (is_doubtful(request, endpoint, now))
        candidates.doubtful.push_back(&endpoint);
    else if (is_reserved_for_others(inputs_.settings, request.class_index,
                                    request.request_class.priority_weight, endpoint.info))
        candidates.reserved.push_back(&endpoint);
    else
        candidates.preferred.push_back(&endpoint);
}

/// Adds the servers of the subset and those that are warming up.
void EndpointSelector::add_subset_candidates(Selection& selection) {
    inputs_.endpoints.prune_subset();
    for (Endpoint* endpoint : inputs_.endpoints.subset()) add_candidate(selection, *endpoint);
    for (Endpoint* endpoint : inputs_.endpoints.warming_up()) {
        const bool is_added = endpoint->index.in_subset;
        if (!is_added && inputs_.endpoints.is_warming_up(*endpoint, selection.now))
            add_candidate(selection, *endpoint);
    }
}

/// Adds random further servers until `wanted` servers are preferred. Servers with a lower cost are more
/// likely to be added.
void EndpointSelector::add_random_candidates(Selection& selection, double wanted) {
    const std::vector<Endpoint*>& active = inputs_.endpoints.active();
    if (active.empty()) return;
    const double least_cost = inputs_.latencies.lowest_kind_mean();
    const std::vector<Endpoint*>& preferred = selection.candidates.preferred;
    for (int draws = kExtraDraws + static_cast<int>(wanted); draws > 0; --draws) {
        if (static_cast<double>(preferred.size()) >= wanted) return;
        Endpoint& drawn = *active[inputs_.random.below(active.size())];
        if (!is_not_yet_added(selection, drawn)) continue;
        if (inputs_.random.unit() * cost(drawn, selection.now) < least_cost) add_candidate(selection, drawn);
    }
}

/// Adds servers until one of them is preferred.
void EndpointSelector::add_remaining_candidates(Selection& selection) {
    for (Endpoint* endpoint : inputs_.endpoints.active()) {
        if (!selection.candidates.preferred.empty()) return;
        if (is_not_yet_added(selection, *endpoint)) add_candidate(selection, *endpoint);
    }
}

bool EndpointSelector::is_not_yet_added(const Selection& selection, const Endpoint& endpoint) const {
    if (endpoint.index.in_subset || inputs_.endpoints.is_warming_up(endpoint, selection.now)) return false;
    const std::vector<Endpoint*>& preferred = selection.candidates.preferred;
    return std::find(preferred.begin(), preferred.end(), &endpoint) == preferred.end();
}

Endpoint* EndpointSelector::choose_candidate(Candidates& candidates, Millis now) {
    std::vector<Endpoint*>& preferred = candidates.preferred;
    for (auto* const others : {&candidates.reserved, &candidates.doubtful, &candidates.unconfirmed}) {
        if (preferred.empty()) preferred.swap(*others);
    }
    if (preferred.empty()) return nullptr;
    Endpoint* const best = take_better_of_two(preferred, now);
    if (candidates.reserved.empty()) return best;
    Endpoint* const reserved = take_better_of_two(candidates.reserved, now);
    const double reserved_latency =
        std::max(LatencyModel::kMinRelativeLatency, inputs_.latencies.expected(*reserved, now));
    const bool is_much_quicker =
        reserved_latency < kReservedAdvantage * inputs_.latencies.expected(*best, now);
    return is_much_quicker ? reserved : best;
}

Endpoint* EndpointSelector::take_better_of_two(std::vector<Endpoint*>& candidates, Millis now) {
    std::swap(candidates[draw_index(candidates, now)], candidates.back());
    Endpoint* const first = candidates.back();
    candidates.pop_back();
    if (candidates.empty()) return first;
    Endpoint* const second = candidates[draw_index(candidates, now)];
    if (first->in_flight != second->in_flight) return second->in_flight < first->in_flight ? second : first;
    return cost(*second, now) < cost(*first, now) ? second : first;
}

/// Draws a candidate at random with the inverse of its cost as weight, so that fast and slow machines become
/// equally busy.
std::size_t EndpointSelector::draw_index(const std::vector<Endpoint*>& candidates, Millis now) {
    return draw_weighted(inputs_.random, candidates.size(),
                         [&](std::size_t i) { return 1 / cost(*candidates[i], now); });
}

/// Returns whether another server should be preferred for the request: this one was already tried for it, is
/// avoided by its class, is in an unreachable zone, or has not responded for longer than the latency
/// objective.
bool EndpointSelector::is_doubtful(const Request& request, const Endpoint& endpoint, Millis now) const {
    return request.was_sent_to(endpoint.info.id) ||
           OutlierDetector::is_avoided_by(request.class_index, endpoint, now) ||
           inputs_.zones.is_unreachable(endpoint.info, now) ||
           endpoint.is_unresponsive_for(request.request_class.latency_objective, now);
}

/// Returns the expected relative latency plus the price of an attempt in another zone.
double EndpointSelector::cost(const Endpoint& endpoint, Millis now) {
    const bool leaves_zone = inputs_.settings.my_zone && endpoint.info.zone != *inputs_.settings.my_zone;
    return std::max(LatencyModel::kMinRelativeLatency, inputs_.latencies.expected(endpoint, now)) +
           (leaves_zone ? inputs_.settings.costs.cross_zone : 0);
}

}  // namespace mothring
