/// @file
/// The decisions of a load-balancing sidecar, without I/O, clocks or threads.
///
/// One Balancer serves one sidecar. The caller passes every event in order, with the time at which it
/// happened, and carries out the appended actions in their order, at that same time. The same settings, seed
/// and events give the same actions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "mothring/actions.hpp"
#include "mothring/events.hpp"
#include "mothring/settings.hpp"
#include "mothring/types.hpp"

namespace mothring {

/// Decides which server each request is sent to, when it is retried, and when it is rejected.
class Balancer {
public:
    /// @param seed  the seed of the random choices.
    /// @throws std::invalid_argument if a setting is invalid; the message names the setting.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Handles an event and appends the resulting actions. Events about unknown or finished requests,
    /// attempts, servers and timers have no effect.
    /// @param now  the time of the event; a time before that of the previous event is replaced by the latter.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    /// The number of objects that the balancer currently holds, and a counter.
    struct Gauges {
        std::size_t requests = 0;
        std::size_t servers = 0;
        std::size_t timers = 0;
        /// Listed servers that are sent no requests: draining, ejected, or in an unreachable zone.
        std::size_t unavailable = 0;
        /// Requests so far that ended early because their response was expected after their deadline.
        std::uint64_t hopeless = 0;
    };
    Gauges gauges() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace mothring
