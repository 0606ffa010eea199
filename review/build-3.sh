#!/bin/bash
# Builds the stand-ins that the scripts of review/9 to review/13 start. Goes into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-ins-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target/review-3 -j4
