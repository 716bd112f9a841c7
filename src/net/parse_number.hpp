/// @file
/// Numbers from text.
#pragma once

#include <charconv>
#include <string_view>
#include <system_error>

namespace mothring::net {

/// Reads the whole text as a number.
/// @param base  of a whole number, 10 where it is not given.
/// @return false where the text is not a number of that type; `value` is undefined then.
template <class Number, class... Base>
bool parse_number(std::string_view text, Number& value, Base... base) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
    return error == std::errc() && end == text.data() + text.size();
}

}  // namespace mothring::net
