#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, each into the folder of its case. Needs g++ and the JSON
# library of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for number in 6 7 8 9 10; do
    if [ -f "$number/case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I . -o "$number/case" "$number/case.cpp" -pthread
    fi
done
