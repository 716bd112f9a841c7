/// @file
/// When to call discovery again after a call for the endpoint list has failed.
#pragma once

#include <cstdint>
#include <optional>

#include "mothring/events.hpp"
#include "random.hpp"

namespace mothring {

/// Backoff with jitter.
///
/// Discovery is one service for the whole fleet, and rejecting a call costs it time too. Sidecars that retry
/// quickly while it is overloaded keep it overloaded (a retry storm), and those without a subscription never
/// get one. So the wait grows with the time for which calls have failed: exponential backoff in effect, as
/// each wait is a share of all the time before it.
class DiscoveryBackoff {
public:
    /// Of any wait, where the settings give no other limit.
    static constexpr Millis kMaxWait = 8000;

    /// @param fleet_size  sidecars that share discovery, this one included.
    explicit DiscoveryBackoff(std::uint32_t fleet_size);

    /// A call has succeeded: the next failure is the first of a new series.
    void reset();

    /// How long to wait before the next call.
    /// @param failed  a list of ListKind::failed.
    Millis wait_after(const EndpointList& failed, Millis now, Random& random);

private:
    Millis ceiling(Millis now) const;
    Millis wait_without_bound(Random& random);

    Millis min_ceiling_;
    Millis max_ceiling_;
    std::optional<Millis> failing_since_;
    Millis unbounded_wait_;
};

}  // namespace mothring
