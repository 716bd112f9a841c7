#!/bin/sh
# Builds the stand-ins of the cases of the second review into build/review-2/, one program for each case:
# review/N/review_case.cpp becomes build/review-2/N. Needs the compiler only, no network and no library.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/build/review-2"
mkdir -p "$out"
for source in "$root"/review/*/review_case.cpp; do
    name=$(basename "$(dirname "$source")")
    rm -f "$out/$name"
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I "$root/review/standins-2" -o "$out/$name" "$source" &
done
wait
for source in "$root"/review/*/review_case.cpp; do
    test -x "$out/$(basename "$(dirname "$source")")"
done
