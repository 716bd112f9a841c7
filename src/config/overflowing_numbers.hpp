/// @file
/// JSON numbers beyond the range of a double (1e999). They are well-formed (RFC 8259, section 6), but the
/// JSON library rejects a text that has one.
#pragma once

#include <string>

namespace mothring::config {

/// Replaces such numbers in the text by `null`, so that only these values are lost. At most 16
/// are replaced, as each takes another pass over the text. Text that is not JSON stays as it is.
std::string without_overflowing_numbers(std::string text);

}  // namespace mothring::config
