#include "placement.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace mothring {

namespace {

template <class Id>
bool permits(const std::optional<std::vector<Id>>& permitted, Id id) {
    return !permitted || std::find(permitted->begin(), permitted->end(), id) != permitted->end();
}

bool class_allows(const RequestClass& request_class, const EndpointInfo& server) {
    return permits(request_class.zones, server.zone) && permits(request_class.kinds, server.kind);
}

}  // namespace

bool placement_allows(const Settings& settings, std::uint32_t class_index, const EndpointInfo& server) {
    const std::vector<RequestClass>& classes = settings.classes;
    if (class_index < classes.size()) return class_allows(classes[class_index], server);
    return std::all_of(classes.begin(), classes.end(),
                       [&](const RequestClass& known) { return class_allows(known, server); });
}

bool is_reserved_for_others(const Settings& settings, std::uint32_t class_index, double priority_weight,
                            const EndpointInfo& server) {
    for (std::uint32_t i = 0; i < settings.classes.size(); ++i) {
        const RequestClass& other = settings.classes[i];
        const bool is_confined = other.zones || other.kinds;
        if (i == class_index || !is_confined) continue;
        if (other.priority_weight > priority_weight && class_allows(other, server)) return true;
    }
    return false;
}

}  // namespace mothring
