#!/usr/bin/env bash
# Builds the stand-ins and programs of the cases 6 to 10 in build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build/review-2 -G Ninja
cmake --build build/review-2 -j4
