#include "node/metrics.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace mothring::node {

void Metrics::ended(std::size_t class_index, Ending ending) {
    Class& c = classes.at(class_index);
    ++(ending == Ending::served ? c.served : ending == Ending::refused ? c.refused : c.failed);
}

namespace {

using Json = nlohmann::ordered_json;

Json json_of(const cluster::Figures& f) {
    Json members = Json::array(), rejected = Json::object();
    for (const cluster::Claim& m : f.members)
        members.push_back({{"name", m.name},
                           {"state", cluster::name_of(m.state)},
                           {"incarnation", m.incarnation},
                           {"version", m.version}});
    for (std::size_t i = 0; i < f.rejected.size(); ++i)
        rejected[cluster::name_of(static_cast<cluster::Rejection>(i))] = f.rejected[i];
    return {{"alive", f.view.alive},
            {"suspect", f.view.suspect},
            {"dead", f.view.dead},
            {"left", f.view.left},
            {"expected", f.view.expected},
            {"quorum", f.view.quorum()},
            {"incarnation", f.incarnation},
            {"superseded", f.superseded},
            {"awareness", f.awareness},
            {"probes", f.counters.probes},
            {"probes_failed", f.counters.probes_failed},
            {"suspicions_raised", f.counters.suspicions},
            {"suspicions_refuted", f.counters.refuted},
            {"deaths_declared", f.counters.deaths},
            {"accused", f.counters.accused},
            {"late_ticks", f.counters.late_ticks},
            {"bytes_sent", f.bytes_sent},
            {"bytes_sent_per_s", f.bytes_sent_per_s},
            {"datagrams_sent", f.datagrams_sent},
            {"syncs", f.syncs},
            {"syncs_failed", f.syncs_failed},
            {"rejected", std::move(rejected)},
            {"members", std::move(members)}};
}

}  // namespace

std::string render(const Metrics& metrics) {
    Json requests = Json::object();
    for (const Metrics::Class& c : metrics.classes)
        requests[c.name] = {{"served", c.served}, {"refused", c.refused}, {"failed", c.failed}};
    Json all{{"requests", std::move(requests)},
             {"attempts", metrics.attempts},
             {"in_flight", metrics.in_flight},
             {"scan_servers_known", metrics.known},
             {"scan_servers_excluded", metrics.excluded},
             {"list",
              {{"version", metrics.list.version},
               {"age_ms", metrics.list.age ? Json(std::round(*metrics.list.age)) : Json()},
               {"failing", metrics.list.failing},
               {"calls", metrics.list.calls}}}};
    if (metrics.cluster) all["cluster"] = json_of(*metrics.cluster);
    return all.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace mothring::node
