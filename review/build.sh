#!/usr/bin/env bash
# Builds the stand-ins of each script of the review into the folder of its case. Needs g++ and the JSON library of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for source in [1-5]/case.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I . -o "${source%.cpp}" "$source" -pthread
done
