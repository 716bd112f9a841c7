#!/usr/bin/env bash
# Builds the stand-ins of all cases into build/review/. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins -o "build/review/case-$name" "$source"
done
