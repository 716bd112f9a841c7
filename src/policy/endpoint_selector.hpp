/// @file
/// Which server gets an attempt.
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

/// Power of two choices within a random subset of the pool, with affinity and half-open trials before it.
class EndpointSelector {
public:
    /// What the choice goes by. All references must outlive the selector.
    struct Inputs {
        const Settings& settings;
        EndpointSet& endpoints;
        const OutlierDetector& outliers;
        const ZoneHealth& zones;
        LatencyModel& latencies;
        const AttemptRules& rules;
        Random& random;
    };
    explicit EndpointSelector(const Inputs& inputs) : in_(inputs) {}

    /// An ejected server that is due for its half-open trial, and may have the request; null: none.
    Endpoint* select_for_trial(const Request& request, Millis now);

    /// The first server in the affinity key's own order that may have the request and has not too much in
    /// flight: rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and
    /// Zadimoghaddam, 2018). The order is the same at every sidecar; a server that leaves moves its own keys
    /// only. Null: none.
    /// @param admitted  else only servers that are warming up, which have limits of their own.
    Endpoint* select_by_affinity(const Request& request, bool admitted, Millis now);

    /// Of two random servers the one with fewer attempts in flight; null: none may have the request.
    /// @param admitted  else only servers that are warming up, which have limits of their own.
    /// @param in_flight  attempts of this sidecar, by which the size of its subset goes.
    Endpoint* select(const Request& request, bool admitted, double in_flight, Millis now);

private:
    /// Servers that may have a request, by preference.
    struct Candidates {
        std::vector<Endpoint*> preferred;
        std::vector<Endpoint*> reserved;     // a class of higher priority is confined to them
        std::vector<Endpoint*> doubtful;     // tried before, or doing badly
        std::vector<Endpoint*> unconfirmed;  // may have begun to leave
    };
    /// One selection under way.
    struct Selection {
        const Request& request;
        bool admitted;
        Millis now;
        Candidates candidates{};
    };

    void offer(Selection& selection, Endpoint& endpoint);
    void offer_subset(Selection& selection);
    void extend_subset(Selection& selection, double wanted);
    void offer_all(Selection& selection);
    bool is_unused(const Selection& selection, const Endpoint& endpoint) const;
    Endpoint* choose(Candidates& candidates, Millis now);
    Endpoint* better_of_two(std::vector<Endpoint*>& candidates, Millis now);
    std::size_t draw(const std::vector<Endpoint*>& candidates, Millis now);

    bool is_in_doubt(const Request& request, const Endpoint& endpoint, Millis now) const;
    bool may_have_by_affinity(const Request& request, Endpoint& endpoint, bool admitted, Millis now) const;
    double cost(const Endpoint& endpoint, Millis now);

    Inputs in_;
};

}  // namespace mothring
