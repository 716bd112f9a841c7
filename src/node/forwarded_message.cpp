#include "node/forwarded_message.hpp"

#include <array>
#include <cstdio>
#include <utility>

#include "net/http_message.hpp"

namespace mothring::node {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttpVersion = 11;  // HTTP/1.1 in Beast's encoding
constexpr Millis kSecond = 1000;
constexpr std::size_t kMaxDecimalLength = 40;

std::string to_decimal(double value, int places) {
    std::array<char, kMaxDecimalLength> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.*f", places, value);
    return {text.data(), text.data() + length};
}

}  // namespace

UpstreamPool::RequestHead forwarded_head(const DownstreamListener::RequestHead& head) {
    UpstreamPool::RequestHead forwarded;
    forwarded.method_string(head.method_string());
    forwarded.target(head.target());
    forwarded.version(kHttpVersion);
    net::copy_end_to_end_fields(forwarded, head);
    forwarded.set(http::field::host, head[http::field::host]);
    return forwarded;
}

DownstreamListener::Response forwarded_response(UpstreamPool::Response response) {
    DownstreamListener::Response forwarded(response.result(), kHttpVersion);
    net::copy_end_to_end_fields(forwarded, response);
    forwarded.body() = std::move(response.body());
    return forwarded;
}

DownstreamListener::Response empty_response(http::status status) {
    return DownstreamListener::Response(status, kHttpVersion);
}

DownstreamListener::Response rejection(Millis retry_after) {
    DownstreamListener::Response response = empty_response(http::status::service_unavailable);
    if (retry_after > 0) response.set(http::field::retry_after, to_decimal(retry_after / kSecond, 3));
    return response;
}

void set_time_left(UpstreamPool::RequestHead& head, Millis time_left) {
    head.set("Request-Timeout-Ms", to_decimal(time_left, 0));
}

}  // namespace mothring::node
