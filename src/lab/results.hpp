// What an experiment showed, as plain values; see report.hpp for the written forms.
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

// Times are ms of the play.
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
        bool ended_badly = false;  // by itself, other than with exit 0 after SIGTERM
    };
    struct Server {
        std::string name, zone;
        ScanServer::Counts counts;
    };
    // While a fault was in force.
    struct Band {
        std::string what;
        Millis from = 0, to = 0;
    };
    // A sidecar's word on its membership (member.*, cluster.*).
    struct Event {
        Millis at = 0;
        std::string sidecar, event, member;
    };
    // How long after a kill each of the others told of it, in ms.
    struct Detection {
        std::string member;
        Millis at = 0;
        std::size_t observers = 0;  // that could have
        std::vector<Millis> after;  // sorted
    };
    std::vector<Sidecar> sidecars;
    std::vector<Server> servers;
    std::vector<Band> faults;
    std::vector<Event> events;
    std::vector<Detection> detections;
    std::vector<double> cluster_bytes_per_s;  // of each sidecar that still runs
    Relay::Counts relay;
    std::uint64_t attempts = 0, once_repeated = 0, discovery_calls = 0;
    std::map<unsigned, std::uint64_t> by_attempts;  // requests by attempts that arrived
    double lab_cpu_s = 0;
    ClientTally clients() const;  // of all sidecars
    double sidecars_cpu_s() const;
};

}  // namespace mothring::lab
