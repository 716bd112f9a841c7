/// @file
/// Output formats of an experiment's report: JSON for programs, and one HTML page with SVG plots.
#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/lab.hpp"

namespace mothring::lab {

/// Returns the report as JSON. Times are in milliseconds, shares range from 0 to 1, and time series have one
/// entry per second.
nlohmann::ordered_json to_json(const Report& report);
/// Returns the report as a self-contained HTML page that loads no other resource.
std::string to_html(const Report& report);
/// Writes report.json and report.html into `folder`. Throws std::runtime_error if a file can't be written.
void write(const Report& report, const std::filesystem::path& folder);

}  // namespace mothring::lab
