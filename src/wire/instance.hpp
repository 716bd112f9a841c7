/// @file
/// One simulated sidecar.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "config/site.hpp"
#include "mothring/balancer.hpp"

namespace mothring::wire {

/// A sidecar's balancer, and the names behind the integers that the balancer sees. The name of a request is
/// held until the request and its attempts have ended, that of a server while it is listed or an attempt on
/// it is in flight.
struct Instance {
    struct Request {
        std::string name;
        /// Attempts.
        std::uint32_t in_flight = 0;
        bool ended = false;
    };
    struct Server {
        std::string name;
        /// Attempts.
        std::uint32_t in_flight = 0;
        bool listed = false;
    };

    /// @param seed  of the balancer's random choices.
    Instance(std::string instance_name, Site instance_site, std::uint64_t seed);

    /// The identifier of a server; a new one where its name is not known.
    ServerId server_id(const std::string& server_name);
    /// Marks a request as ended, and forgets it where it has no attempt in flight.
    void end_request(RequestId id);
    /// Forgets a request that has ended and has no attempt in flight.
    void forget_if_over(RequestId id);
    /// Forgets a server that is not listed and has no attempt in flight.
    void forget_if_gone(ServerId id);
    /// The same for all servers.
    void forget_gone_servers();

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
