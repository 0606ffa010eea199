#!/bin/bash
# Builds the stand-ins of the review cases into target/review. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review  # a cache of an earlier layout would be refused
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review --target review-cases -j8
