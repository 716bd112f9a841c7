/// @file
/// Which requests are beyond their tenant's share of the service.
#pragma once

#include <cstdint>
#include <vector>

#include "mothring/settings.hpp"
#include "random.hpp"
#include "statistics.hpp"

namespace mothring {

/// A tenant that asks for more than its share of what arrives here, in a burst or by clients that retry at
/// once, has that much of its requests counted as beyond its quota. In a crowd they find capacity for what
/// they are worth, so that they starve nobody else; without a crowd nothing changes.
class TenantQuotas {
public:
    /// @param settings  must outlive this.
    explicit TenantQuotas(const Settings& settings)
        : settings_(settings), requests_(settings.tenant_quotas.size(), DecayingSum{kWindow}) {}

    /// Counts a request. With tenants each call draws one random number.
    /// @return whether it is beyond the quota.
    bool is_over_quota(std::uint32_t tenant, Random& random, Millis now) {
        if (tenant >= requests_.size()) return false;
        requests_[tenant].add(1, now);
        all_requests_.add(1, now);
        const double quota = settings_.tenant_quotas[tenant];
        const double share =
            (requests_[tenant].value() + kPriorRequests * quota) / (all_requests_.value() + kPriorRequests);
        return random.unit() * share > quota;
    }

private:
    static constexpr Millis kWindow = 4 * kRateWindow;
    /// Requests at the agreed shares that are assumed before any arrive.
    static constexpr double kPriorRequests = 20;

    const Settings& settings_;
    std::vector<DecayingSum> requests_;
    DecayingSum all_requests_{kWindow};
};

}  // namespace mothring
