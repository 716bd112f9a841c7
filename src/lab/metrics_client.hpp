// Asks a sidecar for its figures, as an operator would.
#pragma once

#include <nlohmann/json.hpp>

#include "lab/asio.hpp"

namespace mothring::lab {

// GET /metrics at `address`: the body of a 200, or null where there is none within 2 s.
nlohmann::json fetch_metrics(const Tcp::endpoint& address);

}  // namespace mothring::lab
