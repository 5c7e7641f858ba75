#!/usr/bin/env bash
# Builds the programs that the scripts of review/6 to review/10 start beside those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in split other_writer departure poison given_up; do
    rustc --edition 2024 -C opt-level=1 -o "target/review-2/$name" "review/standin-2/$name.rs"
done
