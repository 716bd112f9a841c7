/// @file
/// What the sidecar counts for its operators, and the JSON in which they read it.
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
    rejected,  ///< For want of capacity, by the sidecar or by a server.
    failed
};

/// How a request ended whose client got a response of that HTTP status.
RequestOutcome outcome_of_status(unsigned status);

struct Metrics {
    /// The requests of a class that have ended.
    struct Class {
        std::string name;
        std::uint64_t served = 0;
        std::uint64_t rejected = 0;
        std::uint64_t failed = 0;
    };

    explicit Metrics(const std::vector<std::string>& class_names);

    /// Counts a request that has ended.
    /// @throws std::out_of_range  there is no such class.
    void count(std::size_t class_index, RequestOutcome outcome);

    std::vector<Class> classes;

    // The rest is filled in when the metrics are read.

    /// Attempts whose request has been written completely.
    std::uint64_t attempts = 0;
    std::size_t in_flight = 0;
    std::size_t servers_listed = 0;
    /// Listed servers that are sent nothing.
    std::size_t servers_unavailable = 0;
    Discovery::State list;
    /// Absent: the membership is off.
    std::optional<cluster::AgentStatistics> cluster;
};

/// The metrics as JSON. Its names are an interface to operators.
std::string render(const Metrics& metrics);

}  // namespace mothring::node
