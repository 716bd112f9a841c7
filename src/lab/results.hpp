/// @file
/// Results of an experiment as plain values; report.hpp has the output formats.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/process.hpp"
#include "lab/relay.hpp"
#include "lab/scan_server.hpp"
#include "lab/stats.hpp"

namespace mothring::lab {

/// Results of one run of a scenario. Times are milliseconds since the start of the run.
struct Report {
    std::string name;
    bool interrupted = false;
    Millis played = 0;
    std::uint64_t seed = 0;
    struct Sidecar {
        std::string name, zone;
        ClientTally clients;
        Usage usage;
        unsigned starts = 0;
        /// The process ended without SIGTERM or SIGKILL from the lab, or with a status other than exit code 0
        /// or death by SIGKILL.
        bool ended_badly = false;
    };
    struct Server {
        std::string name, zone;
        ScanServer::Counts counts;
    };
    /// Period during which a fault was active.
    struct Band {
        std::string what;
        Millis from = 0, to = 0;
    };
    /// Event that a sidecar logged about its membership (member.*, cluster.*).
    struct Event {
        Millis at = 0;
        std::string sidecar, event, member;
    };
    /// Delays in milliseconds from the kill of a member until other sidecars declared it dead.
    struct Detection {
        std::string member;
        Millis at = 0;
        std::size_t observers = 0;  ///< sidecars that the fault did not kill
        std::vector<Millis> after;  ///< one delay for each sidecar that detected the failure, sorted
    };
    std::vector<Sidecar> sidecars;
    std::vector<Server> servers;
    std::vector<Band> faults;
    std::vector<Event> events;
    std::vector<Detection> detections;
    std::vector<double> cluster_bytes_per_s;  ///< one value per running sidecar
    Relay::Counts relay;
    std::uint64_t attempts = 0, once_repeated = 0, discovery_calls = 0;
    std::map<unsigned, std::uint64_t> by_attempts;  ///< number of requests by number of arrived attempts
    double lab_cpu_s = 0;
    /// Returns the sum over the clients of all sidecars.
    ClientTally clients() const;
    double sidecars_cpu_s() const;
};

}  // namespace mothring::lab
