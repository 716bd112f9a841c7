/// @file
/// Selection of the server for an attempt.
#pragma once

#include <vector>

#include "attempt_rules.hpp"
#include "endpoint_set.hpp"
#include "latency_model.hpp"
#include "mothring/settings.hpp"
#include "outlier_detector.hpp"
#include "random.hpp"
#include "request.hpp"
#include "zone_health.hpp"

namespace mothring {

/// Selects a server by the power of two choices within a random subset of the pool. Half-open trials and
/// affinity take precedence.
class EndpointSelector {
public:
    /// The state that the selection depends on. All references must outlive the selector.
    struct Inputs {
        const Settings& settings;
        EndpointSet& endpoints;
        const OutlierDetector& outliers;
        const ZoneHealth& zones;
        LatencyModel& latencies;
        const AttemptRules& rules;
        Random& random;
    };
    explicit EndpointSelector(const Inputs& inputs) : inputs_(inputs) {}

    /// Returns an ejected server that is due for its half-open trial and may be sent the request, or null if
    /// there is none.
    Endpoint* select_for_trial(const Request& request, Millis now);

    /// Returns the first server in the affinity key's own order that may be sent the request and has not too
    /// many attempts in flight, or null if there is none. The method is rendezvous hashing (Thaler and
    /// Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018). The order is the
    /// same at every sidecar, and a server that leaves moves only its own keys.
    /// @param admitted  if false, only servers that are warming up are considered, as they have limits of
    /// their own.
    Endpoint* select_by_affinity(const Request& request, bool admitted, Millis now);

    /// Returns the one of two random servers that has fewer attempts in flight, or null if no server may be
    /// sent the request.
    /// @param admitted  if false, only servers that are warming up are considered, as they have limits of
    /// their own.
    /// @param in_flight  attempts of this sidecar; determines the size of its subset.
    Endpoint* select(const Request& request, bool admitted, double in_flight, Millis now);

private:
    /// The servers that may be sent a request, in groups by preference.
    struct Candidates {
        std::vector<Endpoint*> preferred;
        std::vector<Endpoint*> reserved;  // reserved for a class of higher priority that is confined to them
        std::vector<Endpoint*> doubtful;  // see is_doubtful()
        std::vector<Endpoint*> unconfirmed;  // may be draining, as the endpoint list is stale
    };
    /// The state of one selection in progress.
    struct Selection {
        const Request& request;
        bool admitted;
        Millis now;
        Candidates candidates{};
    };

    void add_candidate(Selection& selection, Endpoint& endpoint);
    void add_subset_candidates(Selection& selection);
    void add_random_candidates(Selection& selection, double wanted);
    void add_remaining_candidates(Selection& selection);
    bool is_not_yet_added(const Selection& selection, const Endpoint& endpoint) const;
    Endpoint* choose_candidate(Candidates& candidates, Millis now);
    Endpoint* take_better_of_two(std::vector<Endpoint*>& candidates, Millis now);
    std::size_t draw_index(const std::vector<Endpoint*>& candidates, Millis now);

    bool is_doubtful(const Request& request, const Endpoint& endpoint, Millis now) const;
    bool is_eligible_by_affinity(const Request& request, Endpoint& endpoint, bool admitted, Millis now) const;
    double cost(const Endpoint& endpoint, Millis now);

    Inputs inputs_;
};

}  // namespace mothring
