/// @file
/// The location of the program in the build tree.
#pragma once

namespace mothring::test {

/// Returns the path of the executable `mothring`.
const char* program_path();

}  // namespace mothring::test
