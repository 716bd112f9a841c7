/// @file
/// Which servers are outliers: ejected from the pool, tried once after a time, restored.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "endpoint_set.hpp"
#include "mothring/actions.hpp"
#include "request.hpp"

namespace mothring {

/// Ejects servers by the success rate over a window of their last attempts, after the accrual policy
/// io.l5d.successRate and its description in "Making Microservices More Resilient".
class OutlierDetector {
public:
    /// @param settings, endpoints  must outlive this.
    OutlierDetector(const Settings& settings, EndpointSet& endpoints)
        : settings_(settings), endpoints_(endpoints) {}

    /// How an attempt ended.
    struct Result {
        Outcome outcome = Outcome::completed;
        /// Completed after its latency objective, at a server that is warm.
        bool late = false;
        /// Timed out with no sign of life from the server.
        bool silent = false;

        /// The server could not be reached in the request's time.
        bool is_unreachable(const Request& request, Millis now) const {
            return silent || (outcome == Outcome::connect_failed && now < request.deadline);
        }
    };
    /// Records an attempt's result in the server's window, and ejects or restores the server by it.
    void record(Endpoint& endpoint, const Request& request, const Attempt& attempt, const Result& result,
                Millis now, std::vector<Action>& actions);

    /// The server was started anew: nothing recorded holds.
    void reset(Endpoint& endpoint);
    /// The server is gone.
    void forget(ServerId id) { ejected_.erase(id); }

    /// Whether an ejected server is due for its half-open trial.
    static bool is_trial_due(const Endpoint& endpoint, Millis now) {
        return endpoint.outlier.health == Health::ejected && now >= endpoint.outlier.ejected_until;
    }
    static void begin_trial(Endpoint& endpoint) { endpoint.outlier.health = Health::half_open; }

    /// Whether a healthy server fails this class of requests.
    static bool is_avoided_by(std::uint32_t class_index, const Endpoint& endpoint, Millis now);

    /// The servers that are ejected or half-open.
    const std::set<ServerId>& ejected() const { return ejected_; }

private:
    void record_trial(Endpoint& endpoint, const Result& result, Millis now, std::vector<Action>& actions);
    void eject(Endpoint& endpoint, Millis now, std::vector<Action>& actions);
    void restore(Endpoint& endpoint, std::vector<Action>& actions);
    bool is_below_threshold(const Endpoint& endpoint) const;
    double success_rate_of_others(const Endpoint& endpoint) const;
    bool others_responded_since(const Endpoint& endpoint, Millis since) const;
    bool may_eject(const Endpoint& endpoint) const;

    const Settings& settings_;
    EndpointSet& endpoints_;
    std::set<ServerId> ejected_;
};

}  // namespace mothring
