/// @file
/// Client of the sidecars' /metrics endpoint.
#pragma once

#include <nlohmann/json.hpp>

#include "lab/asio.hpp"

namespace mothring::lab {

/// Sends GET /metrics to `address`, as an operator does. Returns the body of a 200 response, or null if none
/// is received within 2 s.
nlohmann::json fetch_metrics(const Tcp::endpoint& address);

}  // namespace mothring::lab
