#include "random_settings.hpp"

namespace mothring::test {

namespace {

RequestClass draw_class(Generator& draw, std::uint32_t number) {
    RequestClass request_class;
    request_class.idempotency = static_cast<Idempotency>(number % 3);
    request_class.dedup_scope = static_cast<DedupScope>(draw.below(3));
    request_class.dedup_window = 500 + 4000 * draw.unit();
    request_class.latency_objective = 100 + 400 * draw.unit();
    request_class.objective_per_effort = draw.chance(0.5) ? 2 * draw.unit() : 0;
    request_class.priority_weight = 0.5 + 3 * draw.unit();
    if (draw.chance(0.15)) request_class.zones = {draw.below(kZones), draw.below(kZones)};
    if (draw.chance(0.15)) request_class.kinds = {draw.below(kKinds), draw.below(kKinds)};
    return request_class;
}

}  // namespace

Settings draw_settings(Generator& draw) {
    Settings settings;
    const std::uint32_t classes = 2 + draw.below(4);
    for (std::uint32_t number = 0; number < classes; ++number)
        settings.classes.push_back(draw_class(draw, number));
    if (draw.chance(0.5)) settings.my_zone = draw.below(kZones);
    settings.fleet_size = 1 + draw.below(400);
    settings.must_subscribe = draw.chance(0.5);
    settings.resubscribe_within = draw.chance(0.5) ? 4000 : 0;
    settings.max_attempts = 1 + draw.below(4);
    settings.may_hedge = draw.chance(0.5);
    settings.may_cancel = draw.chance(0.7);
    settings.max_retry_after = draw.chance(0.5) ? 2000 : 0;
    settings.slow_start_min_capacity = draw.unit();
    settings.slow_start_window = draw.chance(0.8) ? 10000 * draw.unit() : 0;
    settings.overload_multiple = 1 + 2 * draw.unit();
    settings.overloaded_may_have_run = draw.chance(0.3);
    if (draw.chance(0.5)) settings.tenant_quotas = {0.5, 0.3, 0.2};
    settings.over_quota_weight = draw.unit();
    settings.costs.cross_zone = draw.chance(0.5) ? draw.unit() : 0;
    settings.affinity_load_bound = 1 + draw.unit();
    return settings;
}

}  // namespace mothring::test
