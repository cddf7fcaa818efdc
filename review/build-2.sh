#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts in review/6 to review/10 into
# build/review-2. They need a compiler and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for Source in review/standins-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$Source" \
    -o "build/review-2/$(basename "$Source" .cpp)"
done
