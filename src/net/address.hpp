/// @file
/// Conversion between socket endpoints and their text form ADDRESS:PORT.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/parse_number.hpp"

namespace mothring::net {

using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;

/// Returns the endpoint as ADDRESS:PORT.
template <class Endpoint>
std::string format_endpoint(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Parses ADDRESS:PORT. Returns nullopt if the text has another form.
template <class Endpoint>
std::optional<Endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    if (colon == std::string::npos || error || !parse_number(std::string_view(text).substr(colon + 1), port))
        return std::nullopt;
    return Endpoint(address, port);
}

}  // namespace mothring::net
