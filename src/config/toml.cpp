#include "config/toml.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <sstream>

namespace mothring::config {

namespace {

std::string format_location(const std::filesystem::path& source, const toml::source_region& region) {
    return source.string() + ":" + std::to_string(region.begin.line);
}

std::string format_number(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string format_range(double least, double most) {
    if (least == -TomlTable::kAnyNumber) return "";
    constexpr double kUnbounded = 1e15;
    if (most >= kUnbounded) return " of at least " + format_number(least);
    return " from " + format_number(least) + " to " + format_number(most);
}

}  // namespace

std::string read_file(const std::filesystem::path& path, const std::string& what) {
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path))
        throw ConfigError(what + " names a file that can't be read: " + path.string());
    return {std::istreambuf_iterator<char>(file), {}};
}

toml::table parse_toml(std::string_view text, const std::filesystem::path& source) try {
    return toml::parse(text, source.string());
} catch (const toml::parse_error& error) {
    throw ConfigError(format_location(source, error.source()) + ": " + std::string(error.description()));
}

TomlTable::TomlTable(const toml::table& table, std::filesystem::path source, std::string path)
    : table_(&table), source_(std::move(source)), path_(std::move(path)) {}

const toml::node* TomlTable::find(const std::string& key) {
    read_keys_.insert(key);
    return table_->get(key);
}

void TomlTable::fail(const std::string& key, const std::string& reason) const {
    const toml::node* const node = table_->get(key);
    throw ConfigError(format_location(source_, node ? node->source() : table_->source()) + ": '" +
                      dotted(key) + "' " + reason);
}

void TomlTable::done() const {
    for (const auto& [key, node] : *table_)
        if (!read_keys_.contains(key.str()))
            fail(std::string(key.str()), node.is_table() || node.is_array_of_tables() ? "is not a known table"
                                                                                      : "is not a known key");
}

std::optional<std::string> TomlTable::text(const std::string& key) {
    const toml::node* const node = find(key);
    if (!node) return std::nullopt;
    if (!node->is_string()) fail(key, "expects a string");
    return node->as_string()->get();
}

std::optional<double> TomlTable::number(const std::string& key, double least, double most) {
    const toml::node* const node = find(key);
    if (!node) return std::nullopt;
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value) || *value < least || *value > most)
        fail(key, "expects a number" + format_range(least, most));
    return value;
}

std::optional<std::uint64_t> TomlTable::integer(const std::string& key, std::uint64_t least,
                                                std::uint64_t most) {
    const toml::node* const node = find(key);
    if (!node) return std::nullopt;
    const auto* const value = node->as_integer();
    if (!value || value->get() < 0 || static_cast<std::uint64_t>(value->get()) < least ||
        static_cast<std::uint64_t>(value->get()) > most)
        fail(key,
             "expects a whole number" + format_range(static_cast<double>(least), static_cast<double>(most)));
    return static_cast<std::uint64_t>(value->get());
}

std::optional<bool> TomlTable::flag(const std::string& key) {
    const toml::node* const node = find(key);
    if (!node) return std::nullopt;
    if (!node->is_boolean()) fail(key, "expects true or false");
    return node->as_boolean()->get();
}

std::optional<std::vector<std::string>> TomlTable::texts(const std::string& key) {
    const toml::node* const node = find(key);
    if (!node) return std::nullopt;
    const auto* const array = node->as_array();
    if (!array ||
        !std::all_of(array->begin(), array->end(), [](const auto& item) { return item.is_string(); }))
        fail(key, "expects a list of strings");
    std::vector<std::string> values;
    for (const auto& item : *array) values.push_back(item.as_string()->get());
    return values;
}

std::optional<TomlTable> TomlTable::table(const std::string& key) {
    const toml::node* const node = find(key);
    if (!node) return std::nullopt;
    if (!node->is_table()) fail(key, "expects a table");
    return TomlTable(*node->as_table(), source_, dotted(key));
}

std::vector<TomlTable> TomlTable::tables(const std::string& key) {
    std::vector<TomlTable> tables;
    const toml::node* const node = find(key);
    if (!node) return tables;
    const auto* const array = node->as_array();
    if (!array ||
        !std::all_of(array->begin(), array->end(), [](const auto& item) { return item.is_table(); }))
        fail(key, "expects tables ([[" + dotted(key) + "]])");
    for (const auto& item : *array) tables.emplace_back(*item.as_table(), source_, dotted(key));
    return tables;
}

std::optional<std::size_t> TomlTable::one_of(const std::string& key,
                                             const std::vector<std::string_view>& names) {
    const auto value = text(key);
    if (!value) return std::nullopt;
    const auto at = std::find(names.begin(), names.end(), *value);
    if (at != names.end()) return static_cast<std::size_t>(at - names.begin());
    std::string list;
    for (const auto& name : names) {
        if (!list.empty()) list += ", ";
        list += name;
    }
    fail(key, "is not one of " + list);
}

}  // namespace mothring::config
