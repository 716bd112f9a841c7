#include "node/request_classification.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace mothring::node {

namespace http = boost::beast::http;

bool has_form_of_class(const RequestClass& request_class, const DownstreamListener::RequestHead& head,
                       bool has_body) {
    const bool has_key = !head["Idempotency-Key"].empty();
    if (request_class.idempotency == Idempotency::always)
        return head.method() == http::verb::get && !has_body;
    const bool needs_key = request_class.idempotency == Idempotency::with_key;
    return head.method() == http::verb::post && has_key == needs_key;
}

std::uint64_t affinity_hash_of(const std::vector<config::Config::Affinity>& rules,
                               std::string_view class_name, const DownstreamListener::RequestHead& head) {
    for (const config::Config::Affinity& rule : rules) {
        if (rule.class_name != "*" && rule.class_name != class_name) continue;
        const auto key = rule.header.empty() ? head.target() : head[rule.header];
        return key.empty() ? 0 : std::max<std::uint64_t>(1, XXH64(key.data(), key.size(), 0));
    }
    return 0;
}

}  // namespace mothring::node
