/// @file
/// Counts how the clients' requests end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "mothring/types.hpp"
#include "node/metrics.hpp"

namespace mothring::node {

/// The requests whose response has not gone out yet. Each is counted in the metrics as it ends.
class InFlightRequests {
public:
    /// @param metrics  where they are counted; must outlive this.
    explicit InFlightRequests(Metrics& metrics) : metrics_(metrics) {}

    /// A request is taken.
    void add(RequestId id, std::uint32_t class_index);
    /// The final response of a request begins to go out. One that was not taken before counts as well.
    void set_outcome(RequestId id, std::uint32_t class_index, RequestOutcome outcome);
    /// The response has gone out, or can't.
    /// @param is_complete  all of it has gone out; else the request has failed.
    void complete(RequestId id, bool is_complete);

    std::size_t size() const { return requests_.size(); }
    bool empty() const { return requests_.empty(); }

private:
    struct InFlight {
        std::uint32_t class_index = 0;
        RequestOutcome outcome = RequestOutcome::failed;
    };

    Metrics& metrics_;
    std::unordered_map<RequestId, InFlight> requests_;
};

}  // namespace mothring::node
