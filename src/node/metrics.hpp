/// @file
/// The metrics of the sidecar and their JSON format.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/agent.hpp"
#include "node/discovery.hpp"

namespace mothring::node {

/// How a client's request ended.
enum class RequestOutcome {
    served,
    rejected,  ///< For lack of capacity, by the sidecar or by a server.
    failed
};

/// Returns the outcome of a request whose client received a response with that HTTP status.
RequestOutcome outcome_of_status(unsigned status);

/// The counters and the state that operators can read.
struct Metrics {
    /// Counters of the ended requests of a request class.
    struct Class {
        std::string name;
        std::uint64_t served = 0;
        std::uint64_t rejected = 0;
        std::uint64_t failed = 0;
    };

    explicit Metrics(const std::vector<std::string>& class_names);

    /// Counts a request that has ended.
    /// @throws std::out_of_range if the class does not exist.
    void count(std::size_t class_index, RequestOutcome outcome);

    std::vector<Class> classes;

    // The following fields are filled in when the metrics are read.

    /// Number of attempts whose request has been written completely.
    std::uint64_t attempts = 0;
    std::size_t in_flight = 0;
    std::size_t servers_listed = 0;
    /// Number of listed servers that are sent no requests.
    std::size_t servers_unavailable = 0;
    /// Number of requests that were refused or failed because their response was expected too late.
    std::uint64_t requests_expected_late = 0;
    Discovery::State list;
    /// Absent: the membership is disabled.
    std::optional<cluster::AgentStatistics> cluster;
};

/// Formats the metrics as JSON. The names in it are an interface to operators.
std::string render(const Metrics& metrics);

}  // namespace mothring::node
