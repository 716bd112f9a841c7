/// @file
/// Classification of the outcomes of attempts.
#pragma once

#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// Returns whether the outcome says something about the server. Outcomes caused by the sidecar or by the
/// request itself do not.
inline bool is_attributable_to_server(Outcome outcome) {
    return outcome != Outcome::invalid_request && outcome != Outcome::cancelled &&
           outcome != Outcome::not_sent;
}

/// Returns whether the request certainly had no effect at the server.
inline bool proves_never_ran(Outcome outcome, const Settings& settings) {
    if (outcome == Outcome::overloaded) return !settings.overloaded_may_have_run;
    return outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

/// Returns whether the server responded.
inline bool is_response(Outcome outcome) {
    return outcome == Outcome::completed || outcome == Outcome::failed || outcome == Outcome::overloaded;
}

/// Returns whether attempts at a draining or removed server may have this outcome.
inline bool may_mean_departure(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::connect_failed ||
           outcome == Outcome::connection_lost;
}

}  // namespace mothring
