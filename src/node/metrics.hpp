// What the sidecar counts for its operators. Each figure is bumped at one place; rendering stands apart.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/agent.hpp"
#include "node/discovery.hpp"

namespace mothring::node {

enum class Ending { served, refused, failed };

// How a request ended whose client got an answer of that status.
inline Ending ending_of(unsigned status) {
    if (status == 200) return Ending::served;
    return status == 429 || status == 503 ? Ending::refused : Ending::failed;
}

struct Metrics {
    struct Class {
        std::string name;
        std::uint64_t served = 0, refused = 0, failed = 0;
    };
    explicit Metrics(const std::vector<std::string>& names) {
        for (const std::string& name : names) classes.push_back({name});
    }
    void ended(std::size_t class_index, Ending ending);

    std::vector<Class> classes;
    // As of now, filled in by whoever has them renders.
    std::uint64_t attempts = 0;  // written whole
    std::size_t in_flight = 0, known = 0, excluded = 0;
    Discovery::State list;
    std::optional<cluster::Figures> cluster;  // none: off
};

std::string render(const Metrics& metrics);

}  // namespace mothring::node
