// JSON numbers beyond the range of a double (1e999). They are well-formed (RFC 8259, section 6), but the JSON
// library refuses the whole text for one of them.
#pragma once

#include <string>

namespace mothring::config {

/// Replaces such numbers in the text by `null`, so that one absurd value costs its reader that value and not
/// everything beside it. Handles as many as 16, as each takes one more pass over the text; what is left over,
/// or is not JSON, stays as it is.
std::string without_overflowing_numbers(std::string text);

}  // namespace mothring::config
