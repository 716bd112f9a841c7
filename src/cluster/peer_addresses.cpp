#include "cluster/peer_addresses.hpp"

#include "net/address.hpp"

namespace mothring::cluster {

using net::parse_endpoint;

std::optional<Udp::endpoint> PeerAddresses::udp(const Effects::Send& send) const {
    if (!send.address.empty()) return parse_endpoint<Udp::endpoint>(send.address);
    return udp(send.to);
}

std::optional<Udp::endpoint> PeerAddresses::udp(const std::string& name) const {
    const auto route = settings_.routes.find(name);
    if (route != settings_.routes.end() && route->second.udp) return route->second.udp;
    const auto member = membership_.member(name);
    return member ? parse_endpoint<Udp::endpoint>(member->udp) : std::nullopt;
}

std::optional<Tcp::endpoint> PeerAddresses::tcp(const std::string& name) const {
    const auto route = settings_.routes.find(name);
    if (route != settings_.routes.end() && route->second.tcp) return route->second.tcp;
    const auto member = membership_.member(name);
    return member ? parse_endpoint<Tcp::endpoint>(member->tcp) : std::nullopt;
}

}  // namespace mothring::cluster
