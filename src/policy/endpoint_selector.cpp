#include "endpoint_selector.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>

#include "placement.hpp"

namespace mothring {

namespace {

/// Servers in the subset beyond the attempts in flight. Over many more, a sidecar with little traffic would
/// fill no window.
constexpr double kSpareServers = 2;
/// Draws of a server for the subset beyond the size wanted, before what there is must do.
constexpr int kExtraDraws = 16;
/// Candidates for which memory is taken at once.
constexpr std::size_t kUsualCandidates = 8;
/// Reserved servers are used where their responses take less than this share of the time.
constexpr double kReservedAdvantage = 0.5;

/// How high a server ranks for a key, the same at every sidecar.
std::uint64_t rendezvous_rank(std::uint64_t key_hash, std::uint64_t server_hash) {
    const std::uint64_t words[] = {key_hash, server_hash};
    return XXH64(words, sizeof words, 0);
}

}  // namespace

Endpoint* EndpointSelector::select_for_trial(const Request& request, Millis now) {
    // While the list is stale an ejected server may have left: only where nobody else is there.
    const auto is_healthy = [](const Endpoint* endpoint) { return endpoint->is_healthy(); };
    const std::vector<Endpoint*>& active = in_.endpoints.active();
    if (in_.endpoints.is_stale(now) && std::any_of(active.begin(), active.end(), is_healthy)) return nullptr;
    for (const ServerId id : in_.outliers.ejected()) {
        Endpoint& endpoint = in_.endpoints.at(id);
        if (OutlierDetector::is_trial_due(endpoint, now) && in_.rules.may_send(request, endpoint, now))
            return &endpoint;
    }
    return nullptr;
}

Endpoint* EndpointSelector::select_by_affinity(const Request& request, bool admitted, Millis now) {
    double in_flight = 1;
    double healthy = 0;
    for (const Endpoint* endpoint : in_.endpoints.active()) {
        if (!endpoint->is_healthy()) continue;
        in_flight += endpoint->in_flight;
        ++healthy;
    }
    const double bound = std::max(kMinInFlightPerServer,
                                  in_.settings.affinity_load_bound * in_flight / std::max(1.0, healthy));
    Endpoint* best = nullptr;
    std::uint64_t best_rank = 0;
    for (Endpoint* endpoint : in_.endpoints.active()) {
        const std::uint64_t rank = rendezvous_rank(request.affinity_hash, endpoint->info.name_hash);
        if (best && rank <= best_rank) continue;
        if (endpoint->in_flight + 1 > bound) continue;
        if (!may_have_by_affinity(request, *endpoint, admitted, now)) continue;
        best = endpoint;
        best_rank = rank;
    }
    return best;
}

bool EndpointSelector::may_have_by_affinity(const Request& request, Endpoint& endpoint, bool admitted,
                                            Millis now) const {
    if (!endpoint.is_healthy() || is_in_doubt(request, endpoint, now)) return false;
    if (!in_.endpoints.is_known_present(endpoint, now)) return false;
    if (!admitted && !in_.endpoints.is_warming_up(endpoint, now)) return false;
    return in_.rules.may_send(request, endpoint, now);
}

Endpoint* EndpointSelector::select(const Request& request, bool admitted, double in_flight, Millis now) {
    Selection selection{request, admitted, now};
    selection.candidates.preferred.reserve(kUsualCandidates);
    offer_subset(selection);
    if (admitted) {
        extend_subset(selection, in_flight + kSpareServers);
        if (selection.candidates.preferred.empty()) offer_all(selection);
    }
    return choose(selection.candidates, now);
}

void EndpointSelector::offer(Selection& selection, Endpoint& endpoint) {
    const Request& request = selection.request;
    const Millis now = selection.now;
    if (!endpoint.is_healthy()) return;
    if (!selection.admitted && !in_.endpoints.is_warming_up(endpoint, now)) return;
    if (!in_.rules.may_send(request, endpoint, now)) return;
    Candidates& candidates = selection.candidates;
    if (!in_.endpoints.is_known_present(endpoint, now))
        candidates.unconfirmed.push_back(&endpoint);
    else if (is_in_doubt(request, endpoint, now))
        candidates.doubtful.push_back(&endpoint);
    else if (is_reserved_for_others(in_.settings, request.class_index, request.request_class.priority_weight,
                                    endpoint.info))
        candidates.reserved.push_back(&endpoint);
    else
        candidates.preferred.push_back(&endpoint);
}

/// Offers the servers of the subset, and those that are warming up.
void EndpointSelector::offer_subset(Selection& selection) {
    in_.endpoints.prune_subset();
    for (Endpoint* endpoint : in_.endpoints.subset()) offer(selection, *endpoint);
    for (Endpoint* endpoint : in_.endpoints.warming_up()) {
        const bool offered = endpoint->index.in_subset;
        if (!offered && in_.endpoints.is_warming_up(*endpoint, selection.now)) offer(selection, *endpoint);
    }
}

/// Offers further servers by chance, more likely the quicker they are.
void EndpointSelector::extend_subset(Selection& selection, double wanted) {
    const std::vector<Endpoint*>& active = in_.endpoints.active();
    if (active.empty()) return;
    const double least_cost = in_.latencies.lowest_kind_mean();
    const std::vector<Endpoint*>& preferred = selection.candidates.preferred;
    for (int draws = kExtraDraws + static_cast<int>(wanted); draws > 0; --draws) {
        if (static_cast<double>(preferred.size()) >= wanted) return;
        Endpoint& drawn = *active[in_.random.below(active.size())];
        if (!is_unused(selection, drawn)) continue;
        if (in_.random.unit() * cost(drawn, selection.now) < least_cost) offer(selection, drawn);
    }
}

/// Offers servers until one is preferred.
void EndpointSelector::offer_all(Selection& selection) {
    for (Endpoint* endpoint : in_.endpoints.active()) {
        if (!selection.candidates.preferred.empty()) return;
        if (is_unused(selection, *endpoint)) offer(selection, *endpoint);
    }
}

bool EndpointSelector::is_unused(const Selection& selection, const Endpoint& endpoint) const {
    if (endpoint.index.in_subset || in_.endpoints.is_warming_up(endpoint, selection.now)) return false;
    const std::vector<Endpoint*>& preferred = selection.candidates.preferred;
    return std::find(preferred.begin(), preferred.end(), &endpoint) == preferred.end();
}

Endpoint* EndpointSelector::choose(Candidates& candidates, Millis now) {
    std::vector<Endpoint*>& preferred = candidates.preferred;
    for (auto* const others : {&candidates.reserved, &candidates.doubtful, &candidates.unconfirmed}) {
        if (preferred.empty()) preferred.swap(*others);
    }
    if (preferred.empty()) return nullptr;
    Endpoint* const best = better_of_two(preferred, now);
    if (candidates.reserved.empty()) return best;
    Endpoint* const reserved = better_of_two(candidates.reserved, now);
    const double reserved_latency =
        std::max(LatencyModel::kMinRelativeLatency, in_.latencies.expected(*reserved, now));
    const bool is_much_quicker = reserved_latency < kReservedAdvantage * in_.latencies.expected(*best, now);
    return is_much_quicker ? reserved : best;
}

Endpoint* EndpointSelector::better_of_two(std::vector<Endpoint*>& candidates, Millis now) {
    std::swap(candidates[draw(candidates, now)], candidates.back());
    Endpoint* const first = candidates.back();
    candidates.pop_back();
    if (candidates.empty()) return first;
    Endpoint* const second = candidates[draw(candidates, now)];
    if (first->in_flight != second->in_flight) return second->in_flight < first->in_flight ? second : first;
    return cost(*second, now) < cost(*first, now) ? second : first;
}

/// One by chance, with the inverse of its cost as weight: fast and slow machines end up equally busy.
std::size_t EndpointSelector::draw(const std::vector<Endpoint*>& candidates, Millis now) {
    return draw_weighted(in_.random, candidates.size(),
                         [&](std::size_t i) { return 1 / cost(*candidates[i], now); });
}

/// Whether the request had better go elsewhere.
bool EndpointSelector::is_in_doubt(const Request& request, const Endpoint& endpoint, Millis now) const {
    return request.was_sent_to(endpoint.info.id) ||
           OutlierDetector::is_avoided_by(request.class_index, endpoint, now) ||
           in_.zones.is_unreachable(endpoint.info, now) ||
           endpoint.is_unresponsive_for(request.request_class.latency_objective, now);
}

/// The relative latency expected, and the price of leaving the zone.
double EndpointSelector::cost(const Endpoint& endpoint, Millis now) {
    const bool leaves_zone = in_.settings.my_zone && endpoint.info.zone != *in_.settings.my_zone;
    return std::max(LatencyModel::kMinRelativeLatency, in_.latencies.expected(endpoint, now)) +
           (leaves_zone ? in_.settings.costs.cross_zone : 0);
}

}  // namespace mothring
