// A TOML table read key by key, for every part's typed configuration. Whatever is wrong is thrown as
// ConfigError "SOURCE:LINE: 'KEY' REASON", KEY being the dotted path and REASON naming the expected type and
// range. Keys that nobody asked for are errors too (done()), so that a misspelt key is not silently absent.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <filesystem>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config.hpp"

namespace mothring::config {

// The file's bytes; ConfigError "WHAT names a file that can't be read: PATH".
std::string read_file(const std::filesystem::path& path, const std::string& what);

// The document; ConfigError "SOURCE:LINE: ..." where it is no TOML.
toml::table parse_toml(std::string_view text, const std::filesystem::path& source);

class TomlTable {
public:
    static constexpr double kAnyNumber = std::numeric_limits<double>::max();

    // Borrows `table`, which must outlive it. `path` is empty for the root.
    TomlTable(const toml::table& table, std::filesystem::path source, std::string path = "");

    // nullopt: the key is absent.
    std::optional<std::string> text(const std::string& key);
    std::optional<double> number(const std::string& key, double least = -kAnyNumber,
                                 double most = kAnyNumber);
    std::optional<std::uint64_t> integer(const std::string& key, std::uint64_t least = 0,
                                         std::uint64_t most = 1ULL << 53);
    std::optional<bool> flag(const std::string& key);
    std::optional<std::vector<std::string>> texts(const std::string& key);
    std::optional<TomlTable> table(const std::string& key);
    std::vector<TomlTable> tables(const std::string& key);  // [[key]]; absent: none
    // One of the names given, by its place among them.
    std::optional<std::size_t> one_of(const std::string& key, const std::vector<std::string_view>& names);

    // Into `to` where the key is there.
    template <class T, class... Range>
    void number_into(T& to, const std::string& key, Range... range) {
        if (const auto value = number(key, range...)) to = static_cast<T>(*value);
    }
    template <class T, class... Range>
    void integer_into(T& to, const std::string& key, Range... range) {
        if (const auto value = integer(key, range...)) to = static_cast<T>(*value);
    }
    void flag_into(bool& to, const std::string& key) {
        if (const auto value = flag(key)) to = *value;
    }

    bool has(const std::string& key) const { return table_->contains(key); }
    const toml::table& raw() const { return *table_; }
    const std::filesystem::path& source() const { return source_; }
    // Throws for the first key that was never asked for. Tables and keys of sub-tables check themselves.
    void done() const;
    // For a key that is there and wrong in a way only the caller knows; one that is missing: at the table.
    [[noreturn]] void fail(const std::string& key, const std::string& reason) const;

private:
    const toml::node* find(const std::string& key);
    std::string dotted(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

    const toml::table* table_;
    std::filesystem::path source_;
    std::string path_;
    std::set<std::string, std::less<>> asked_;
};

}  // namespace mothring::config
