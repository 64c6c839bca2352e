#!/usr/bin/env bash
# Builds the cases of the third review and their stand-ins into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compile=(g++ -std=c++20 -O2 -Wall -Wextra -pthread)
objects=()
for name in world poison_scene; do
  "${compile[@]}" -c "review/stand_ins_3/$name.cpp" -o "target/review-3/$name.o"
  objects+=("target/review-3/$name.o")
done
for number in 11 12 13 14 15; do
  if [ -f "review/$number/case.cpp" ]; then
    "${compile[@]}" "review/$number/case.cpp" "${objects[@]}" -o "target/review-3/case-$number.new"
    mv "target/review-3/case-$number.new" "target/review-3/case-$number"
  fi
done
