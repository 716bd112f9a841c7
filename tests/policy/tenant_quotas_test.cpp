/// @file
/// Tests of tenants' quotas in overload.
#include "tenant_quotas.hpp"

#include <cstdint>
#include <vector>

#include "support/policy_harness.hpp"
#include "support/policy_traffic.hpp"

namespace mothring::test {
namespace {

constexpr Millis kNow = 100000;

// Counts 1,000 requests, of which one in `interval` comes from tenant 0 and the rest from tenant 1. Returns
// the number of tenant 0's requests that were over its quota.
int count_over_quota(const Settings& settings, int interval) {
    TenantQuotas quotas(settings);
    Random random(1);
    int over_quota = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::uint32_t tenant = i % interval == 0 ? 0 : 1;
        const bool is_over = quotas.is_over_quota(tenant, random, kNow);
        if (is_over && tenant == 0) ++over_quota;
    }
    return over_quota;
}

// Nine of ten requests come from one of two tenants with equal quotas, and the pool responds late.
TEST(TenantQuotas, KeepATenantOverItsQuotaFromStarvingOthers) {
    Settings settings = make_settings();
    settings.tenant_quotas = {0.5, 0.5};
    settings.over_quota_weight = 0.1;
    PolicyHarness harness(settings);
    harness.deliver_list(ListKind::full, make_servers(4));
    int sent[2] = {0, 0};
    int arrived[2] = {0, 0};
    for (int i = 0; i < 300; ++i) {
        std::vector<RequestId> ids;
        for (int number = 0; number < 10; ++number) {
            const std::uint32_t tenant = number == 5;
            ids.push_back(harness.start_request(0, 2000, false, tenant));
            if (i < 100) continue;  // before the limit is lowered and the shares are known
            ++arrived[tenant];
            sent[tenant] += harness.is_in_flight(ids.back());
        }
        harness.complete_in_flight(ids, 390);
        harness.advance(10);
    }
    EXPECT_GT(2 * sent[1], arrived[1]);
    EXPECT_GT(sent[1] * arrived[0], 2 * sent[0] * arrived[1]);
}

// At a sidecar that runs alongside a tenant's applications, the tenant is far over its quota of the service.
// Without overload this must not cause rejections.
TEST(TenantQuotas, ServeATenantOverItsQuotaWithoutOverload) {
    const RequestClass cheap = make_class(Idempotency::always);
    RequestClass valuable = make_class(Idempotency::never);
    valuable.priority_weight = 3;
    Settings settings = make_settings({cheap, valuable});
    settings.tenant_quotas = {0.2, 0.8};
    settings.over_quota_weight = 0.1;
    EXPECT_LT(count_rejected_without_overload(settings, 0, 300), 50);
}

TEST(TenantQuotas, CountNoRequestOfATenantWithinItsQuota) {
    Settings settings;
    settings.tenant_quotas = {0.5, 0.5};
    EXPECT_EQ(count_over_quota(settings, 4), 0);
}

TEST(TenantQuotas, CountTheRequestsOfATenantOverItsQuota) {
    Settings settings;
    settings.tenant_quotas = {0.25, 0.75};
    // Tenant 0 sends half of 1,000 requests with a quota of a quarter, so about half of its requests are over
    // the quota.
    const int over_quota = count_over_quota(settings, 2);
    EXPECT_GT(over_quota, 150);
    EXPECT_LT(over_quota, 350);
}

// An unknown tenant has no quota to exceed, and must not draw a random number.
TEST(TenantQuotas, IgnoreAnUnknownTenant) {
    Settings settings;
    settings.tenant_quotas = {0.5, 0.5};
    TenantQuotas quotas(settings);
    Random random(1);
    Random untouched(1);
    for (std::uint32_t tenant = 2; tenant < 100; ++tenant)
        EXPECT_FALSE(quotas.is_over_quota(tenant, random, kNow)) << tenant;
    EXPECT_EQ(random.unit(), untouched.unit());
}

}  // namespace
}  // namespace mothring::test
