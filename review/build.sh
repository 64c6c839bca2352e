#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/build/. Needs g++ and Boost, as the deploy build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
compile=(g++ -std=c++20 -O2 -Wall -Wextra -pthread)
"${compile[@]}" -c -o build/stand_ins.o stand_ins/stand_ins.cpp
"${compile[@]}" -c -o build/memory_scene.o stand_ins/memory_scene.cpp
for case in [1-5]/case.cpp; do
  "${compile[@]}" -o "build/case$(dirname "$case")" "$case" build/stand_ins.o \
    build/memory_scene.o -lboost_json
done
