#include "node/incoming_request.hpp"

#include "net/parse_number.hpp"

namespace mothring::node::downstream {

namespace {

constexpr Millis kMaxTime = 1e7;
constexpr double kMicrosecondsPerMilli = 1000;

std::string to_string(boost::beast::string_view view) { return {view.data(), view.size()}; }

/// Returns the first segment of the path.
std::string first_path_segment(boost::beast::string_view target) {
    target.remove_prefix(target.starts_with('/') ? 1 : 0);
    return to_string(target.substr(0, target.find_first_of("/?")));
}

bool has_exactly_one_id(const RequestHead& head) {
    return !head["Request-Id"].empty() && head.count("Request-Id") == 1;
}

/// @return 0 if the hint is missing, malformed or out of range.
Millis read_effort(const RequestHead& head) {
    Millis effort = 0;
    if (net::parse_number(to_string(head["Work-Hint"]), effort)) effort /= kMicrosecondsPerMilli;
    return effort >= 0 && effort < kMaxTime ? effort : 0;
}

}  // namespace

std::optional<IncomingRequest> read_incoming_request(const RequestHead& head) {
    IncomingRequest request;
    if (!has_exactly_one_id(head)) return std::nullopt;
    if (!net::parse_number(to_string(head["Request-Timeout-Ms"]), request.time_left)) return std::nullopt;
    if (!(request.time_left >= 0) || request.time_left > kMaxTime) return std::nullopt;
    request.effort = read_effort(head);
    request.class_name = first_path_segment(head.target());
    const std::string stated_class = to_string(head["Request-Class"]);
    if (!stated_class.empty() && stated_class != request.class_name) return std::nullopt;
    request.tenant = to_string(head["Tenant"]);
    request.is_retry = head["Client-Retry"] == "1";
    return request;
}

}  // namespace mothring::node::downstream
