#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. The programs of the deploy file are built
# with its own command before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
done
