/// @file
/// The state of one simulated sidecar.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "config/site.hpp"
#include "mothring/balancer.hpp"

namespace mothring::wire {

/// The balancer of a sidecar, and the names that its integer identifiers stand for. The name of a request is
/// stored until the request and its attempts have ended. The name of a server is stored while the server is
/// listed or has an attempt in flight.
struct Instance {
    struct Request {
        std::string name;
        /// The number of attempts in flight.
        std::uint32_t in_flight = 0;
        bool ended = false;
    };
    struct Server {
        std::string name;
        /// The number of attempts in flight.
        std::uint32_t in_flight = 0;
        bool listed = false;
    };

    /// @param seed  for the balancer's random choices.
    Instance(std::string instance_name, Site instance_site, std::uint64_t seed);

    /// Returns the identifier of a server, and assigns one if the name is new.
    ServerId server_id(const std::string& server_name);
    /// Marks a request as ended, and removes it if it has no attempt in flight.
    void end_request(RequestId id);
    /// Removes a request if it has ended and has no attempt in flight.
    void remove_request_if_finished(RequestId id);
    /// Removes a server if it is not listed and has no attempt in flight.
    void remove_server_if_unused(ServerId id);
    /// Removes all servers that are not listed and have no attempt in flight.
    void remove_unused_servers();

    std::string name;
    Site site;
    Balancer balancer;
    std::unordered_map<std::string, RequestId> request_ids;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<std::string, ServerId> server_ids;
    std::map<ServerId, Server> servers;
    RequestId next_request = 1;
    ServerId next_server = 1;
};

}  // namespace mothring::wire
