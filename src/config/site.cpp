#include "config/site.hpp"

#include <algorithm>
#include <cmath>

#include "net/parse_number.hpp"

namespace mothring {

namespace {

const Fields::Names<Idempotency> idempotency_names{
    {"repeatable", Idempotency::always}, {"by_key", Idempotency::with_key}, {"once", Idempotency::never}};
const Fields::Names<DedupScope> dedup_scope_names{
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

std::uint32_t index_of(const std::vector<std::string>& names, std::string_view name) {
    return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::uint32_t find_or_append(std::vector<std::string>& names, std::string_view name) {
    const std::uint32_t index = index_of(names, name);
    if (index == names.size()) names.emplace_back(name);
    return index;
}

}  // namespace

void Fields::fail(std::string_view field, std::string_view reason) const {
    throw FieldError(location() + ": field '" + std::string(field) + "' " + std::string(reason));
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
    fail(field, "is not one of 0, 1, false and true");
}

ZoneId Site::zone(std::string_view name) { return find_or_append(zones, name); }
KindId Site::kind(std::string_view name) { return find_or_append(kinds, name); }

std::uint32_t Site::class_index(std::string_view name) const { return index_of(classes, name); }
std::uint32_t Site::tenant_index(std::string_view name) const { return index_of(tenants, name); }

namespace {

// Returns the identifiers of the names that a field lists. None: the field is absent.
template <class IdOfName>
std::optional<std::vector<std::uint32_t>> read_ids(const Fields& fields, const std::string& field,
                                                   IdOfName id_of_name) {
    std::optional<std::vector<std::uint32_t>> ids;
    if (!fields.has(field)) return ids;
    ids.emplace();
    for (const std::string& name : split(fields.text(field))) ids->push_back(id_of_name(name));
    return ids;
}

void read_class(Site& site, const Fields& fields, const std::string& prefix) {
    RequestClass request_class;
    request_class.idempotency = fields.named(prefix + "effect", idempotency_names);
    if (fields.has(prefix + "dedup-scope"))
        request_class.dedup_scope = fields.named(prefix + "dedup-scope", dedup_scope_names);
    request_class.dedup_window = fields.number_or(prefix + "dedup-window-ms", request_class.dedup_window);
    request_class.latency_objective = fields.number(prefix + "on-time-ms");
    request_class.objective_per_effort =
        fields.number_or(prefix + "aim-stretch", request_class.objective_per_effort);
    request_class.priority_weight = fields.number_or(prefix + "credit", request_class.priority_weight);
    const auto zone = [&](const std::string& name) { return site.zone(name); };
    const auto kind = [&](const std::string& name) { return site.kind(name); };
    request_class.zones = read_ids(fields, prefix + "confined-to", zone);
    request_class.kinds = read_ids(fields, prefix + "models-allowed", kind);
    site.settings.classes.push_back(std::move(request_class));
    site.classes.emplace_back(fields.text(prefix + "name"));
}

void read_tenant(Site& site, const Fields& fields, const std::string& prefix) {
    site.settings.tenant_quotas.push_back(fields.number(prefix + "share"));
    site.tenants.emplace_back(fields.text(prefix + "name"));
}

void read_limits_and_rules(Settings& settings, const Fields& fields) {
    settings.over_quota_weight = fields.number_or("over-share-worth", settings.over_quota_weight);
    if (fields.has("membership-mode"))
        settings.must_subscribe = fields.text("membership-mode") == "on_request";
    settings.resubscribe_within = fields.number_or("rules.ask-within-ms", settings.resubscribe_within);
    settings.fleet_size = static_cast<std::uint32_t>(fields.integer_or("siblings", settings.fleet_size));
    settings.max_attempts =
        static_cast<std::uint32_t>(fields.integer_or("limits.max-attempts", settings.max_attempts));
    settings.may_hedge = fields.flag_or("limits.parallel-tries", settings.may_hedge);
    if (fields.flag_or("limits.retry-after", false))
        settings.max_retry_after = fields.number_or("limits.max-retry-after-ms", settings.max_retry_after);
    settings.may_cancel = fields.flag_or("limits.may-cancel", false);
    settings.slow_start_min_capacity = fields.number_or("rules.cold-from", settings.slow_start_min_capacity);
    settings.overload_multiple = fields.number_or("rules.fall-multiple", settings.overload_multiple);
    settings.overload_window = fields.number_or("rules.fall-ms", settings.overload_window);
    settings.overloaded_may_have_run =
        fields.flag_or("rules.busy-is-no-proof", settings.overloaded_may_have_run);
    settings.slow_start_window = fields.number_or("rules.warm-within-ms", settings.slow_start_window);
    settings.costs.cross_zone = fields.number_or("fees.cross-zone", settings.costs.cross_zone);
}

}  // namespace

Site read_site(const Fields& fields) {
    Site site;
    if (fields.has("azs")) site.zones = split(fields.text("azs"));
    if (fields.has("my-zone")) site.settings.my_zone = site.zone(fields.text("my-zone"));
    const std::uint64_t classes = fields.integer("classes.count");
    for (std::uint64_t i = 0; i < classes; ++i)
        read_class(site, fields, "classes." + std::to_string(i) + ".");
    const std::uint64_t tenants = fields.integer_or("tenants.count", 0);
    for (std::uint64_t i = 0; i < tenants; ++i)
        read_tenant(site, fields, "tenants." + std::to_string(i) + ".");
    read_limits_and_rules(site.settings, fields);
    return site;
}

}  // namespace mothring
