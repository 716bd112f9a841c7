#include "config/overflowing_numbers.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace mothring::config {

namespace {

using Json = nlohmann::json;

constexpr int kMaxReplacements = 16;
constexpr int kNumberOverflowErrorId = 406;  // the library's identifier of the error

// A range of byte offsets in the text.
struct TextRange {
    std::size_t begin = 0, end = 0;
};

/// Parses without storing values, and records the position of a number out of range.
class OverflowFinder : public nlohmann::json_sax<Json> {
public:
    std::optional<TextRange> found;

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return true; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t end, const std::string& token, const Json::exception& error) override {
        if (error.id == kNumberOverflowErrorId) found = TextRange{end - token.size(), end};
        return false;
    }
};

std::optional<TextRange> first_overflow(const std::string& text) {
    OverflowFinder finder;
    Json::sax_parse(text, &finder);
    return finder.found;
}

}  // namespace

std::string without_overflowing_numbers(std::string text) {
    for (int i = 0; i < kMaxReplacements; ++i) {
        const auto range = first_overflow(text);
        if (!range) break;
        text.replace(range->begin, range->end - range->begin, "null");
    }
    return text;
}

}  // namespace mothring::config
