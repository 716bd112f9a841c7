#include "cluster/claim.hpp"

namespace mothring::cluster {

namespace {

constexpr std::size_t kFixedBytes = 32;  // encoded size of a claim without its strings

}  // namespace

const char* name_of(State state) {
    constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
    return kNames[static_cast<std::size_t>(state)];
}

bool is_present(State state) { return state == State::alive || state == State::suspect; }

bool overrides(const Claim& claim, const Claim& held) {
    if (claim.incarnation != held.incarnation) return claim.incarnation > held.incarnation;
    return claim.state > held.state;
}

std::size_t encoded_size(const Claim& claim) {
    return kFixedBytes + claim.name.size() + claim.udp.size() + claim.tcp.size() + claim.version.size() +
           claim.by.size();
}

Claim compact(Claim claim) {
    if (claim.state == State::alive) return claim;
    claim.udp.clear();
    claim.tcp.clear();
    claim.version.clear();
    return claim;
}

}  // namespace mothring::cluster
