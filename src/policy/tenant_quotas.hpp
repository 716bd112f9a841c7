/// @file
/// Tenant quotas: which requests exceed their tenant's share of the service.
#pragma once

#include <cstdint>
#include <vector>

#include "mothring/settings.hpp"
#include "random.hpp"
#include "statistics.hpp"

namespace mothring {

/// Measures each tenant's share of the requests that arrive here. If a tenant exceeds its quota, in a burst
/// or because its clients retry at once, the excess part of its requests counts as over quota. In overload
/// the admission controller admits those requests only according to their reduced weight, so that they do not
/// starve other tenants. Without overload nothing changes.
class TenantQuotas {
public:
    /// @param settings  must outlive this object.
    explicit TenantQuotas(const Settings& settings)
        : settings_(settings), requests_(settings.tenant_quotas.size(), DecayingSum{kWindow}) {}

    /// Counts a request. Each call for a known tenant draws one random number.
    /// @return whether the request is over its tenant's quota.
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
    /// The number of assumed requests, distributed according to the quotas, before any request has arrived.
    static constexpr double kPriorRequests = 20;

    const Settings& settings_;
    std::vector<DecayingSum> requests_;
    DecayingSum all_requests_{kWindow};
};

}  // namespace mothring
