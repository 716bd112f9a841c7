/// @file
/// Typed access to the keys of a TOML table.
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

/// Reads the complete content of a file.
/// @throws ConfigError "WHAT names a file that can't be read: PATH".
std::string read_file(const std::filesystem::path& path, const std::string& what);

/// Parses a TOML document.
/// @throws ConfigError "SOURCE:LINE: ..." if the text is not TOML.
toml::table parse_toml(std::string_view text, const std::filesystem::path& source);

/// Reads a TOML table key by key, and records the keys that were read. Every error is a ConfigError
/// "SOURCE:LINE: 'KEY' REASON", in which KEY is the dotted path and REASON names the expected type and range.
class TomlTable {
public:
    static constexpr double kAnyNumber = std::numeric_limits<double>::max();

    /// The largest integer up to which a double represents all integers exactly.
    static constexpr std::uint64_t kMaxInteger = 1ULL << 53;

    /// @param table  must outlive this.
    /// @param source  the name of the file, for errors.
    /// @param path  the dotted path of the table; empty for the root.
    TomlTable(const toml::table& table, std::filesystem::path source, std::string path = "");

    /// Returns the value of a key. None: the key is absent.
    std::optional<std::string> text(const std::string& key);
    std::optional<double> number(const std::string& key, double least = -kAnyNumber,
                                 double most = kAnyNumber);
    std::optional<std::uint64_t> integer(const std::string& key, std::uint64_t least = 0,
                                         std::uint64_t most = kMaxInteger);
    std::optional<bool> flag(const std::string& key);
    std::optional<std::vector<std::string>> texts(const std::string& key);
    std::optional<TomlTable> table(const std::string& key);
    /// Returns the tables of the array [[key]]; empty if the key is absent.
    std::vector<TomlTable> tables(const std::string& key);
    /// Returns the index of the value in `names`. None: the key is absent.
    std::optional<std::size_t> one_of(const std::string& key, const std::vector<std::string_view>& names);

    /// Sets the target if the key is present.
    template <class T, class... Range>
    void number_into(T& target, const std::string& key, Range... range) {
        if (const auto value = number(key, range...)) target = static_cast<T>(*value);
    }
    template <class T, class... Range>
    void integer_into(T& target, const std::string& key, Range... range) {
        if (const auto value = integer(key, range...)) target = static_cast<T>(*value);
    }
    void flag_into(bool& target, const std::string& key) {
        if (const auto value = flag(key)) target = *value;
    }

    bool has(const std::string& key) const { return table_->contains(key); }
    const toml::table& raw() const { return *table_; }
    const std::filesystem::path& source() const { return source_; }
    /// Checks for unknown keys. Must be called after all keys have been read. Sub-tables are not checked.
    /// @throws ConfigError for the first key that was not read, as it may be misspelt.
    void done() const;
    /// Throws the error for a key with the line of the key, or that of the table if the key is absent.
    [[noreturn]] void fail(const std::string& key, const std::string& reason) const;

private:
    const toml::node* find(const std::string& key);
    std::string dotted(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

    const toml::table* table_;
    std::filesystem::path source_;
    std::string path_;
    std::set<std::string, std::less<>> read_keys_;
};

}  // namespace mothring::config
