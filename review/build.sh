#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "review/bin/case$number" "$source" -pthread
done
