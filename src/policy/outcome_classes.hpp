/// @file
/// What an attempt's outcome tells.
#pragma once

#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// Whether it tells anything of the server: what is the sidecar's or the request's own doing does not.
inline bool is_attributable_to_server(Outcome outcome) {
    return outcome != Outcome::invalid_request && outcome != Outcome::cancelled &&
           outcome != Outcome::not_sent;
}

/// Whether the request certainly had no effect at the server.
inline bool proves_never_ran(Outcome outcome, const Settings& settings) {
    if (outcome == Outcome::overloaded) return !settings.overloaded_may_have_run;
    return outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

/// Whether the server responded.
inline bool is_response(Outcome outcome) {
    return outcome == Outcome::completed || outcome == Outcome::failed || outcome == Outcome::overloaded;
}

/// Whether attempts at a server that drains, or is gone, end like this.
inline bool may_mean_departure(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::connect_failed ||
           outcome == Outcome::connection_lost;
}

}  // namespace mothring
