/// @file
/// The decisions of a load-balancing sidecar, without I/O, clock or thread.
///
/// One Balancer serves one sidecar. Give it every event in order, with the time at which it happened, and
/// carry out the actions that it appends, in their order, at that same time. The same settings, seed and
/// events give the same actions.
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

class Balancer {
public:
    /// @param seed  of the random choices.
    /// @throws std::invalid_argument naming the setting that makes no sense.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Handles an event and appends what is to be done. Events about unknown or finished requests, attempts,
    /// servers and timers have no effect.
    /// @param now  when it happened; an earlier time than that of the last event counts as that.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    /// How much the balancer holds at present.
    struct Gauges {
        std::size_t requests = 0;
        std::size_t servers = 0;
        std::size_t timers = 0;
        /// Listed servers that are sent nothing: draining, ejected, or in a zone that is out of reach.
        std::size_t unavailable = 0;
    };
    Gauges gauges() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace mothring
