#!/bin/bash
# Builds the stand-ins of the review cases into target/review. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand_ins -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review --target review-cases -j8
