#include "cluster/suspicion.hpp"

namespace mothring::cluster {

bool Suspicion::confirm(const std::string& accuser, unsigned wanted) {
    return accusers_.size() <= wanted && accusers_.insert(accuser).second;
}

Millis Suspicion::expires_at(const Parameters& parameters, std::size_t members) const {
    const auto confirmations = static_cast<unsigned>(accusers_.size() - 1);
    return started_at_ + parameters.suspicion_timeout(members, confirmations);
}

}  // namespace mothring::cluster
