#include "settings_validation.hpp"

#include <cmath>
#include <cstddef>
#include <stdexcept>
#include <string>

namespace mothring {

namespace {

void check(bool is_valid, const std::string& setting) {
    if (!is_valid) throw std::invalid_argument("mothring: invalid setting: " + setting);
}
void check_not_negative(double value, const std::string& setting) {
    check(std::isfinite(value) && value >= 0, setting);
}

void check_share(double value, const std::string& setting) { check(value >= 0 && value <= 1, setting); }

void validate_class(const RequestClass& request_class, const std::string& prefix) {
    const Millis objective = request_class.latency_objective;
    check(std::isfinite(objective) && objective > 0, prefix + "aim");
    check_not_negative(request_class.dedup_window, prefix + "dedup_window");
    check_not_negative(request_class.objective_per_effort, prefix + "aim_stretch");
    check_not_negative(request_class.priority_weight, prefix + "worth");
    check(!request_class.zones || !request_class.zones->empty(), prefix + "zones (empty list)");
    check(!request_class.kinds || !request_class.kinds->empty(), prefix + "kinds (empty list)");
}

std::string indexed(const std::string& list, std::size_t index) {
    return list + "[" + std::to_string(index) + "]";
}

}  // namespace

void validate(const Settings& settings) {
    check(!settings.classes.empty(), "classes (empty list)");
    for (std::size_t i = 0; i < settings.classes.size(); ++i)
        validate_class(settings.classes[i], indexed("classes", i) + ".");
    check(settings.max_attempts >= 1, "max_attempts");
    check(settings.fleet_size >= 1, "siblings");
    check_not_negative(settings.slow_start_window, "warm_within");
    check_not_negative(settings.resubscribe_within, "ask_within");
    check(std::isfinite(settings.overload_multiple) && settings.overload_multiple >= 1, "fall_multiple");
    check(std::isfinite(settings.overload_window) && settings.overload_window > 0, "fall_within");
    check_share(settings.slow_start_min_capacity, "cold_from");
    for (std::size_t i = 0; i < settings.tenant_quotas.size(); ++i)
        check_not_negative(settings.tenant_quotas[i], indexed("tenant_shares", i));
    check_share(settings.over_quota_weight, "over_share_worth");
    check_not_negative(settings.costs.cross_zone, "fees.cross_zone");
    check(std::isfinite(settings.affinity_load_bound) && settings.affinity_load_bound >= 1, "affinity_bound");
}

}  // namespace mothring
