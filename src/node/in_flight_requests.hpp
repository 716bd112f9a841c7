/// @file
/// Counts the outcomes of the clients' requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "mothring/types.hpp"
#include "node/metrics.hpp"

namespace mothring::node {

/// Holds the requests whose response has not been sent completely, and counts each one in the metrics when it
/// ends.
class InFlightRequests {
public:
    /// @param metrics  receives the counts; must outlive this object.
    explicit InFlightRequests(Metrics& metrics) : metrics_(metrics) {}

    /// Adds a request.
    void add(RequestId id, std::uint32_t class_index);
    /// Records the outcome of a request when its final response starts. Adds the request if it is missing.
    void set_outcome(RequestId id, std::uint32_t class_index, RequestOutcome outcome);
    /// Counts a request and removes it.
    /// @param is_complete  whether the response has been sent completely; if not, the request counts as
    /// failed.
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
