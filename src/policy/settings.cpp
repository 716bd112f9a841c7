// The checks of settings that are given at start.
#include <cmath>
#include <stdexcept>
#include <string>

#include "support.hpp"

namespace mothring {

namespace {

void check(bool sound, const std::string &setting) {
  if (!sound)
    throw std::invalid_argument("mothring: setting makes no sense: " + setting);
}
void check_time(Millis value, const std::string &name) {
  check(std::isfinite(value) && value >= 0, name);
}

} // namespace

void validate(const Settings &s) {
  check(!s.classes.empty(), "classes (none given)");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const std::string prefix = "classes[" + std::to_string(i) + "].";
    const RequestClass &c = s.classes[i];
    check(std::isfinite(c.latency_objective) && c.latency_objective > 0,
          prefix + "aim");
    check_time(c.dedup_window, prefix + "dedup_window");
    check_time(c.objective_per_effort, prefix + "aim_stretch");
    check_time(c.priority_weight, prefix + "worth");
    check(!c.zones || !c.zones->empty(), prefix + "zones (confined to none)");
    check(!c.kinds || !c.kinds->empty(), prefix + "kinds (confined to none)");
  }
  check(s.max_attempts >= 1, "max_attempts");
  check(s.fleet_size >= 1, "siblings");
  check_time(s.slow_start_window, "warm_within");
  check_time(s.resubscribe_within, "ask_within");
  check(std::isfinite(s.overload_multiple) && s.overload_multiple >= 1,
        "fall_multiple");
  check(std::isfinite(s.overload_window) && s.overload_window > 0,
        "fall_within");
  check(s.slow_start_min_capacity >= 0 && s.slow_start_min_capacity <= 1,
        "cold_from");
  for (std::size_t i = 0; i < s.tenant_quotas.size(); ++i)
    check_time(s.tenant_quotas[i], "tenant_shares[" + std::to_string(i) + "]");
  check(s.over_quota_weight >= 0 && s.over_quota_weight <= 1,
        "over_share_worth");
  check_time(s.costs.cross_zone, "fees.cross_zone");
  check(std::isfinite(s.affinity_load_bound) && s.affinity_load_bound >= 1,
        "affinity_bound");
}

} // namespace mothring
