/// @file
/// Parsing of numbers.
#pragma once

#include <charconv>
#include <string_view>
#include <system_error>

namespace mothring::net {

/// Parses the complete text as a number.
/// @param base  base of an integer, 10 if absent.
/// @return false if the text is not a number of that type; `value` is undefined then.
template <class Number, class... Base>
bool parse_number(std::string_view text, Number& value, Base... base) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
    return error == std::errc() && end == text.data() + text.size();
}

}  // namespace mothring::net
