#!/usr/bin/env bash
# Builds the stand-ins of all scripts of the review into review/bin. Needs g++ and the JSON library of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
    number=${source%%/*}
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I standins -o "bin/case-$number" "$source" -pthread
done
