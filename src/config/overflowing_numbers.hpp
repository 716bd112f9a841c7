/// @file
/// Replacement of JSON numbers beyond the range of a double (1e999). Such numbers are well-formed (RFC 8259,
/// section 6), but the JSON library rejects a text that has one.
#pragma once

#include <string>

namespace mothring::config {

/// Replaces numbers out of range in the text by `null`, so that only these values are lost. At most 16
/// numbers are replaced, as each takes another pass over the text. Text that is not JSON is returned
/// unchanged.
std::string without_overflowing_numbers(std::string text);

}  // namespace mothring::config
