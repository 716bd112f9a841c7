#include "slow_start.hpp"

#include <algorithm>
#include <optional>

#include "warm_up.hpp"

namespace mothring {

namespace {

/// The share of Settings::overload_multiple that is used. The rest is a margin for machines that differ from
/// the mean.
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
    const double min_capacity = settings_.slow_start_min_capacity;
    const double capacity =
        min_capacity + (1 - min_capacity) * warm_up_progress(endpoint.info, settings_, now);
    const std::optional<double> rate_of_kind = survey_.rate_of(endpoint.info.kind);
    // While its responses are quick, the server is sent most of what would overload it; otherwise it is sent
    // only its share. A kind without a warm server has no measured rate, so the mean rate of all kinds
    // applies. At its plain share of that mean, the server is not overloaded unless its kind is slower than
    // the mean by the full overload multiple.
    const bool is_limited_to_share =
        latencies_.expected_warming_up(endpoint, now) > kTargetRelativeLatency || !rate_of_kind;
    const double multiple =
        is_limited_to_share ? 1 : std::max(1.0, kOverloadMargin * settings_.overload_multiple);
    // A server of a slow kind gets no more than other servers of its own kind.
    const double rate = rate_of_kind ? std::min(survey_.rate(), *rate_of_kind) : survey_.rate();
    // The rate is at least that of the half-open trials of a few sidecars: kMinInFlightPerServer attempts of
    // the whole fleet in kEjectionTime.
    return std::max(multiple * capacity * rate, fleet_.in_flight_per_server() / kEjectionTime);
}

}  // namespace mothring
