/// @file
/// Outlier detection: ejects failing servers, tries them again after a time, and restores them.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "endpoint_set.hpp"
#include "mothring/actions.hpp"
#include "request.hpp"

namespace mothring {

/// Ejects servers whose success rate over a window of their last attempts is too low. The policy follows
/// Linkerd's failure accrual io.l5d.successRate and its description in "Making Microservices More Resilient".
class OutlierDetector {
public:
    /// @param settings, endpoints  must outlive this object.
    OutlierDetector(const Settings& settings, EndpointSet& endpoints)
        : settings_(settings), endpoints_(endpoints) {}

    /// The outcome of an attempt, with the findings of OutcomeRecorder.
    struct Result {
        Outcome outcome = Outcome::completed;
        /// The attempt completed after its latency objective, at a server that is not warming up.
        bool late = false;
        /// The attempt timed out, and the server has sent no response since the attempt was sent.
        bool silent = false;

        /// Returns whether the server could not be reached although the request still had time.
        bool is_unreachable(const Request& request, Millis now) const {
            return silent || (outcome == Outcome::connect_failed && now < request.deadline);
        }
    };
    /// Records an attempt's result in the server's window. Ejects the server, restores it, or makes the
    /// request's class avoid it if the result requires that.
    void record(Endpoint& endpoint, const Request& request, const Attempt& attempt, const Result& result,
                Millis now, std::vector<Action>& actions);

    /// Discards all records of a server, because a new process has started under its name.
    void reset(Endpoint& endpoint);
    /// Removes a server that no longer exists.
    void forget(ServerId id) { ejected_.erase(id); }

    /// Returns whether an ejected server is due for its half-open trial.
    static bool is_trial_due(const Endpoint& endpoint, Millis now) {
        return endpoint.outlier.health == Health::ejected && now >= endpoint.outlier.ejected_until;
    }
    static void begin_trial(Endpoint& endpoint) { endpoint.outlier.health = Health::half_open; }

    /// Returns whether a class avoids a server because attempts of this class recently failed there.
    static bool is_avoided_by(std::uint32_t class_index, const Endpoint& endpoint, Millis now);

    /// Returns the servers that are ejected or half-open.
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
