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

/// Reads the bytes of a file.
/// @throws ConfigError "WHAT names a file that can't be read: PATH".
std::string read_file(const std::filesystem::path& path, const std::string& what);

/// Reads a document.
/// @throws ConfigError "SOURCE:LINE: ..." where it is not TOML.
toml::table parse_toml(std::string_view text, const std::filesystem::path& source);

/// A table read key by key. Whatever is wrong is thrown as ConfigError "SOURCE:LINE: 'KEY' REASON", where KEY
/// is the dotted path and REASON names the expected type and range.
class TomlTable {
public:
    static constexpr double kAnyNumber = std::numeric_limits<double>::max();

    /// No integer beyond it is exact as a double.
    static constexpr std::uint64_t kMostInteger = 1ULL << 53;

    /// @param table  must outlive this.
    /// @param source  the name of the file, for errors.
    /// @param path  dotted; empty for the root.
    TomlTable(const toml::table& table, std::filesystem::path source, std::string path = "");

    /// The value of a key. None: the key is absent.
    std::optional<std::string> text(const std::string& key);
    std::optional<double> number(const std::string& key, double least = -kAnyNumber,
                                 double most = kAnyNumber);
    std::optional<std::uint64_t> integer(const std::string& key, std::uint64_t least = 0,
                                         std::uint64_t most = kMostInteger);
    std::optional<bool> flag(const std::string& key);
    std::optional<std::vector<std::string>> texts(const std::string& key);
    std::optional<TomlTable> table(const std::string& key);
    std::vector<TomlTable> tables(const std::string& key);  // [[key]]; absent: none
    /// The index of the value among `names`.
    std::optional<std::size_t> one_of(const std::string& key, const std::vector<std::string_view>& names);

    /// Sets a target where the key is present.
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
    /// Has to be called once all keys are read.
    /// @throws ConfigError for the first key that was not read, which may be misspelt. Sub-tables are not
    /// checked.
    void done() const;
    /// Throws the error for a key, with its line; where it is absent, with the line of the table.
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
