// Where the build has put the program.
#pragma once

namespace mothring::test {

// The path of the executable `mothring`.
const char* program_path();

}  // namespace mothring::test
