/// @file
/// The delay before the next call to discovery after a call for the endpoint list has failed.
#pragma once

#include <cstdint>
#include <optional>

#include "mothring/events.hpp"
#include "random.hpp"

namespace mothring {

/// Backoff with jitter.
///
/// Discovery is one service for the whole fleet, and each call that it rejects costs it time as well. If
/// sidecars retry quickly while discovery is overloaded, they keep it overloaded (a retry storm), and
/// sidecars without a subscription never get one. The wait therefore grows with the time for which calls have
/// been failing. Each wait is a share of the total time before it, which amounts to exponential backoff.
class DiscoveryBackoff {
public:
    /// The longest wait if the settings give no other limit.
    static constexpr Millis kMaxWait = 8000;

    /// @param fleet_size  the number of sidecars that share discovery, including this one.
    explicit DiscoveryBackoff(std::uint32_t fleet_size);

    /// Resets the backoff after a successful call. The next failure is the first of a new series.
    void reset();

    /// Returns the wait before the next call.
    /// @param failed  a list of ListKind::failed.
    Millis wait_after(const EndpointList& failed, Millis now, Random& random);

private:
    /// Returns the upper end of the range from which the next wait is drawn.
    Millis wait_ceiling(Millis now) const;
    /// Returns the next wait if discovery does not say when a change counts as notified.
    Millis wait_without_deadline(Random& random);

    Millis min_ceiling_;
    Millis max_ceiling_;
    std::optional<Millis> failing_since_;
    Millis next_wait_without_deadline_;
};

}  // namespace mothring
