/// @file
/// The process that the simulator starts: the wire on standard input and output.
#include <iostream>

#include "wire/host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return mothring::wire::Host(std::cin, std::cout, std::cerr).run();
}
