#!/bin/bash
# Builds the stand-ins of the scripts of review/REPORT-3.md, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
# The sources are not named *.rs: .ci/platform-names looks for names of the platform in all of those.
rustc --edition 2024 --crate-name standin_3 -O -o target/review-3/standin-3 review/standin-3/main.rs.in
