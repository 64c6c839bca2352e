#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2/. Needs the packages of
# deploy/system.toml. The cases run what the build of the deploy file puts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview/stand_ins_2)
for source in review/stand_ins_2/*.cpp; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  g++ "${flags[@]}" -c "$source" -o "$out/case-$(basename "$(dirname "$source")").o" &
done
wait
for object in "$out"/case-*.o; do
  number=$(basename "$object" .o)
  [ -f "review/${number#case-}/case.cpp" ] || continue
  g++ -pthread "$object" "$out/world.o" "$out/json.o" -o "$out/$number"
done
