// The written forms of an experiment's report: JSON for programs, and one HTML page with SVG plots.
#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/lab.hpp"

namespace mothring::lab {

// Times in milliseconds, shares from 0 to 1, series with one entry a second.
nlohmann::ordered_json to_json(const Report& report);
// One page, nothing loaded from elsewhere.
std::string to_html(const Report& report);
// Writes FOLDER/report.json and FOLDER/report.html; throws std::runtime_error where it can't.
void write(const Report& report, const std::filesystem::path& folder);

}  // namespace mothring::lab
