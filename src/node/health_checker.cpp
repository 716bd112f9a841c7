#include "node/health_checker.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>

namespace mothring::node {

namespace {

constexpr Millis kTimeout = 250;
constexpr const char* kPath = "/ping";

UpstreamPool::Request ping_request(const std::string& host) {
    namespace http = boost::beast::http;
    UpstreamPool::Request ping;
    ping.is_attempt = false;
    ping.message.method(http::verb::get);
    ping.message.target(kPath);
    ping.message.set(http::field::host, host);
    return ping;
}

}  // namespace

void HealthChecker::check(ServerId server) {
    if (!is_allowed_ || !parts_.endpoints.is_listed(server))
        return parts_.loop.handle(HealthCheckEnded{server, Outcome::not_sent, 0});
    UpstreamPool::Request ping = ping_request(parts_.endpoints.name_of(server));
    const auto timeout = std::make_shared<boost::asio::steady_timer>(parts_.io, net::to_duration(kTimeout));
    const auto report = [this, server, timeout, started_at = parts_.clock.now()](Outcome outcome) {
        timeout->cancel();
        parts_.loop.handle(HealthCheckEnded{server, outcome, parts_.clock.now() - started_at});
    };
    const ExchangeId exchange =
        parts_.upstream.start(server, std::move(ping),
                              [report](Outcome outcome, const UpstreamPool::Response&) { report(outcome); });
    timeout->async_wait(guard_.while_alive([this, report, exchange] {
        const bool was_written = parts_.upstream.cancel(exchange);
        report(was_written ? Outcome::timed_out : Outcome::connect_failed);
    }));
}

}  // namespace mothring::node
