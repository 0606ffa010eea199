#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. Needs what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-ins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target/review-2 -j4
