#include "config/site.hpp"

#include <algorithm>
#include <cmath>

#include "net/parse_number.hpp"

namespace mothring {

namespace {

const Fields::Names<Idempotency> effects{
    {"repeatable", Idempotency::always}, {"by_key", Idempotency::with_key}, {"once", Idempotency::never}};
const Fields::Names<DedupScope> scopes{
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};

std::vector<std::string> split(std::string_view list) {
    std::vector<std::string> items;
    while (!list.empty()) {
        const auto comma = list.find(',');
        items.emplace_back(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return items;
}

std::uint32_t place_of(const std::vector<std::string>& names, std::string_view name) {
    return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::uint32_t number_of(std::vector<std::string>& names, std::string_view name) {
    const std::uint32_t id = place_of(names, name);
    if (id == names.size()) names.emplace_back(name);
    return id;
}

}  // namespace

void Fields::fail(std::string_view field, std::string_view what) const {
    throw FieldError(place() + ": field '" + std::string(field) + "' " + std::string(what));
}

std::string_view Fields::text(std::string_view field) const {
    const auto value = find(field);
    if (!value) fail(field, "is missing");
    return *value;
}

double Fields::number(std::string_view field) const {
    double value = 0;
    if (!net::parse_number(text(field), value) || !std::isfinite(value)) fail(field, "is not a number");
    return value;
}

double Fields::number_or(std::string_view field, double fallback) const {
    return has(field) ? number(field) : fallback;
}

std::uint64_t Fields::integer(std::string_view field) const {
    std::uint64_t value = 0;
    if (!net::parse_number(text(field), value)) fail(field, "is not a whole number");
    return value;
}

std::uint64_t Fields::integer_or(std::string_view field, std::uint64_t fallback) const {
    return has(field) ? integer(field) : fallback;
}

bool Fields::flag_or(std::string_view field, bool fallback) const {
    if (!has(field)) return fallback;
    const std::string_view value = text(field);
    if (value == "1" || value == "true") return true;
    if (value == "0" || value == "false") return false;
    fail(field, "is not a truth value");
}

ZoneId Site::zone(std::string_view name) { return number_of(zones, name); }
KindId Site::kind(std::string_view name) { return number_of(kinds, name); }

std::uint32_t Site::class_index(std::string_view name) const { return place_of(classes, name); }
std::uint32_t Site::tenant_index(std::string_view name) const { return place_of(tenants, name); }

namespace {

// The numbers of the names that a field lists. None: the field is absent.
template <class Number>
std::optional<std::vector<std::uint32_t>> read_names(const Fields& start, const std::string& field,
                                                     Number number_of_name) {
    std::optional<std::vector<std::uint32_t>> numbers;
    if (!start.has(field)) return numbers;
    numbers.emplace();
    for (const std::string& name : split(start.text(field))) numbers->push_back(number_of_name(name));
    return numbers;
}

void read_class(Site& site, const Fields& start, const std::string& prefix) {
    RequestClass read;
    read.idempotency = start.named(prefix + "effect", effects);
    if (start.has(prefix + "dedup-scope")) read.dedup_scope = start.named(prefix + "dedup-scope", scopes);
    read.dedup_window = start.number_or(prefix + "dedup-window-ms", read.dedup_window);
    read.latency_objective = start.number(prefix + "on-time-ms");
    read.objective_per_effort = start.number_or(prefix + "aim-stretch", read.objective_per_effort);
    read.priority_weight = start.number_or(prefix + "credit", read.priority_weight);
    const auto zone = [&](const std::string& name) { return site.zone(name); };
    const auto kind = [&](const std::string& name) { return site.kind(name); };
    read.zones = read_names(start, prefix + "confined-to", zone);
    read.kinds = read_names(start, prefix + "models-allowed", kind);
    site.settings.classes.push_back(std::move(read));
    site.classes.emplace_back(start.text(prefix + "name"));
}

void read_tenant(Site& site, const Fields& start, const std::string& prefix) {
    site.settings.tenant_quotas.push_back(start.number(prefix + "share"));
    site.tenants.emplace_back(start.text(prefix + "name"));
}

void read_limits_and_rules(Settings& settings, const Fields& start) {
    settings.over_quota_weight = start.number_or("over-share-worth", settings.over_quota_weight);
    if (start.has("membership-mode")) settings.must_subscribe = start.text("membership-mode") == "on_request";
    settings.resubscribe_within = start.number_or("rules.ask-within-ms", settings.resubscribe_within);
    settings.fleet_size = static_cast<std::uint32_t>(start.integer_or("siblings", settings.fleet_size));
    settings.max_attempts =
        static_cast<std::uint32_t>(start.integer_or("limits.max-attempts", settings.max_attempts));
    settings.may_hedge = start.flag_or("limits.parallel-tries", settings.may_hedge);
    if (start.flag_or("limits.retry-after", false))
        settings.max_retry_after = start.number_or("limits.max-retry-after-ms", settings.max_retry_after);
    settings.may_cancel = start.flag_or("limits.may-cancel", false);
    settings.slow_start_min_capacity = start.number_or("rules.cold-from", settings.slow_start_min_capacity);
    settings.overload_multiple = start.number_or("rules.fall-multiple", settings.overload_multiple);
    settings.overload_window = start.number_or("rules.fall-ms", settings.overload_window);
    settings.overloaded_may_have_run =
        start.flag_or("rules.busy-is-no-proof", settings.overloaded_may_have_run);
    settings.slow_start_window = start.number_or("rules.warm-within-ms", settings.slow_start_window);
    settings.costs.cross_zone = start.number_or("fees.cross-zone", settings.costs.cross_zone);
}

}  // namespace

Site read_site(const Fields& start) {
    Site site;
    if (start.has("azs")) site.zones = split(start.text("azs"));
    if (start.has("my-zone")) site.settings.my_zone = site.zone(start.text("my-zone"));
    const std::uint64_t classes = start.integer("classes.count");
    for (std::uint64_t i = 0; i < classes; ++i) read_class(site, start, "classes." + std::to_string(i) + ".");
    const std::uint64_t tenants = start.integer_or("tenants.count", 0);
    for (std::uint64_t i = 0; i < tenants; ++i)
        read_tenant(site, start, "tenants." + std::to_string(i) + ".");
    read_limits_and_rules(site.settings, start);
    return site;
}

}  // namespace mothring
