/// @file
/// The program that the simulator starts. It speaks the simulator's protocol on standard input and output.
#include <iostream>

#include "wire/host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return mothring::wire::Host(std::cin, std::cout, std::cerr).run();
}
