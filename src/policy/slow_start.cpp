#include "slow_start.hpp"

#include <algorithm>
#include <optional>

#include "warm_up.hpp"

namespace mothring {

namespace {

/// Of the multiple that makes a server collapse; the rest is for machines that are unlike.
constexpr double kOverloadMargin = 0.7;

}  // namespace

void SlowStart::reset(Endpoint& endpoint, Random& random, Millis now) {
    endpoint.warm_up_tokens = {random.unit(), now};
}

bool SlowStart::has_token(Endpoint& endpoint, Millis now) const {
    WarmUpTokens& tokens = endpoint.warm_up_tokens;
    const double refill = (now - tokens.refilled_at) * tokens_per_millisecond(endpoint, now);
    tokens.count = std::min(tokens.count + refill, 1.0);
    tokens.refilled_at = now;
    return tokens.count >= 1;
}

double SlowStart::tokens_per_millisecond(const Endpoint& endpoint, Millis now) const {
    const double least = settings_.slow_start_min_capacity;
    const double capacity = least + (1 - least) * warm_up_progress(endpoint.info, settings_, now);
    const std::optional<double> rate_of_kind = survey_.rate_of(endpoint.info.kind);
    // While its responses come in time it is sent most of what would make it collapse; else just its share. A
    // kind with no warm server shows nothing: at its share of the mean it holds if it is not slower than that
    // by the whole multiple.
    const bool is_cautious =
        latencies_.expected_warming_up(endpoint, now) > kTargetRelativeLatency || !rate_of_kind;
    const double multiple = is_cautious ? 1 : std::max(1.0, kOverloadMargin * settings_.overload_multiple);
    // A slow kind among fast ones gets no more than its own do.
    const double rate = rate_of_kind ? std::min(survey_.rate(), *rate_of_kind) : survey_.rate();
    // Never less than the trials of a few sidecars.
    return std::max(multiple * capacity * rate, fleet_.in_flight_per_server() / kEjectionTime);
}

}  // namespace mothring
