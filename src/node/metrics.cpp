#include "node/metrics.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace mothring::node {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusServiceUnavailable = 503;

Json members_json(const cluster::AgentStatistics& figures) {
    Json members = Json::array();
    for (const cluster::Claim& member : figures.members)
        members.push_back({{"name", member.name},
                           {"state", cluster::name_of(member.state)},
                           {"incarnation", member.incarnation},
                           {"version", member.version}});
    return members;
}

Json rejected_json(const cluster::AgentStatistics& figures) {
    Json rejected = Json::object();
    for (std::size_t reason = 0; reason < figures.rejected.size(); ++reason)
        rejected[cluster::name_of(static_cast<cluster::Rejection>(reason))] = figures.rejected[reason];
    return rejected;
}

Json cluster_json(const cluster::AgentStatistics& figures) {
    return {{"alive", figures.view.alive},
            {"suspect", figures.view.suspect},
            {"dead", figures.view.dead},
            {"left", figures.view.left},
            {"expected", figures.view.expected},
            {"quorum", figures.view.quorum()},
            {"incarnation", figures.incarnation},
            {"superseded", figures.superseded},
            {"awareness", figures.awareness},
            {"probes", figures.counters.probes},
            {"probes_failed", figures.counters.probes_failed},
            {"suspicions_raised", figures.counters.suspicions},
            {"suspicions_refuted", figures.counters.refuted},
            {"deaths_declared", figures.counters.deaths},
            {"accused", figures.counters.accused},
            {"late_ticks", figures.counters.late_ticks},
            {"bytes_sent", figures.bytes_sent},
            {"bytes_sent_per_s", figures.bytes_sent_per_s},
            {"datagrams_sent", figures.datagrams_sent},
            {"syncs", figures.syncs},
            {"syncs_failed", figures.syncs_failed},
            {"rejected", rejected_json(figures)},
            {"members", members_json(figures)}};
}

Json requests_json(const Metrics& metrics) {
    Json requests = Json::object();
    for (const Metrics::Class& counts : metrics.classes)
        requests[counts.name] = {
            {"served", counts.served}, {"refused", counts.rejected}, {"failed", counts.failed}};
    return requests;
}

Json list_json(const Discovery::State& list) {
    return {{"version", list.version},
            {"age_ms", list.age ? Json(std::round(*list.age)) : Json()},
            {"failing", list.failing},
            {"calls", list.calls}};
}

}  // namespace

RequestOutcome outcome_of_status(unsigned status) {
    if (status == kStatusOk) return RequestOutcome::served;
    const bool is_rejection = status == kStatusTooManyRequests || status == kStatusServiceUnavailable;
    return is_rejection ? RequestOutcome::rejected : RequestOutcome::failed;
}

Metrics::Metrics(const std::vector<std::string>& class_names) {
    for (const std::string& name : class_names) classes.push_back({name});
}

void Metrics::count(std::size_t class_index, RequestOutcome outcome) {
    Class& counts = classes.at(class_index);
    switch (outcome) {
        case RequestOutcome::served:
            ++counts.served;
            break;
        case RequestOutcome::rejected:
            ++counts.rejected;
            break;
        case RequestOutcome::failed:
            ++counts.failed;
            break;
    }
}

std::string render(const Metrics& metrics) {
    Json all{{"requests", requests_json(metrics)},
             {"attempts", metrics.attempts},
             {"in_flight", metrics.in_flight},
             {"scan_servers_known", metrics.servers_listed},
             {"scan_servers_excluded", metrics.servers_unavailable},
             {"expected_late", metrics.requests_expected_late},
             {"list", list_json(metrics.list)}};
    if (metrics.cluster) all["cluster"] = cluster_json(*metrics.cluster);
    return all.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace mothring::node
