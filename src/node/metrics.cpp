#include "node/metrics.hpp"

#include <nlohmann/json.hpp>

namespace mothring::node {

void Metrics::ended(std::size_t class_index, Ending ending) {
    Class& c = classes.at(class_index);
    ++(ending == Ending::served ? c.served : ending == Ending::refused ? c.refused : c.failed);
}

std::string render(const Metrics& metrics) {
    nlohmann::ordered_json requests = nlohmann::ordered_json::object();
    for (const Metrics::Class& c : metrics.classes)
        requests[c.name] = {{"served", c.served}, {"refused", c.refused}, {"failed", c.failed}};
    const nlohmann::ordered_json all{{"requests", std::move(requests)},
                                     {"attempts", metrics.attempts},
                                     {"in_flight", metrics.in_flight},
                                     {"scan_servers_known", metrics.known},
                                     {"scan_servers_excluded", metrics.excluded}};
    return all.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace mothring::node
