#include "program_path.hpp"

namespace mothring::test {

const char* program_path() { return MOTHRING_BIN; }

}  // namespace mothring::test
