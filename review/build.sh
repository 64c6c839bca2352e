#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/build/. Needs g++ and Boost, as the deploy build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O2 -Wall -Wextra -pthread -c -o build/stand_ins.o stand_ins/stand_ins.cpp
for case in [1-5]/case.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build/case$(dirname "$case")" "$case" \
    build/stand_ins.o -lboost_json
done
