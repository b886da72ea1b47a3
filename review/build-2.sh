#!/usr/bin/env bash
# Builds the stand-ins and scripts of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/cases-2.rust
