#include "lab/metrics_client.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace mothring::lab {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr Millis kExchangeTimeout = 2000;  // from the connection to the end of the response

Task exchange(const Tcp::endpoint& address, boost::beast::tcp_stream& stream, Json& metrics) {
    const http::request<http::empty_body> request{http::verb::get, "/metrics", 11};
    http::response<http::string_body> response;
    boost::beast::flat_buffer buffer;
    error_code failed;
    co_await stream.async_connect(address, into(failed));
    if (!failed) co_await http::async_write(stream, request, into(failed));
    if (!failed) co_await http::async_read(stream, buffer, response, into(failed));
    if (!failed && response.result() == http::status::ok)
        metrics = Json::parse(response.body(), nullptr, false);
}

}  // namespace

Json fetch_metrics(const Tcp::endpoint& address) {
    asio::io_context io;
    boost::beast::tcp_stream stream(io);
    Json metrics;
    stream.expires_after(to_duration(kExchangeTimeout));
    asio::co_spawn(io, exchange(address, stream, metrics), asio::detached);
    io.run();
    return metrics;
}

}  // namespace mothring::lab
