#!/bin/bash
# Builds the stand-ins of review/6, 7 and 9 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=review/standins-2
for library in lab engine; do
    g++ -std=c++20 -O2 -Wall -Wextra -c "$sources/$library.cpp" -o "target/review-2/$library.o" &
done
for program in holder poison attempts; do
    g++ -std=c++20 -O2 -Wall -Wextra -c "$sources/$program.cpp" -o "target/review-2/$program.o" &
done
wait
for program in holder poison attempts; do
    g++ "target/review-2/$program.o" target/review-2/engine.o target/review-2/lab.o -lpthread \
        -o "target/review-2/$program"
done
