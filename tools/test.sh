#!/usr/bin/env bash
# Runs all tests of the workspace except those listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
skipped=()
while read -r test; do
    skipped+=(--skip "$test")
done < <(sed -nE 's/^(   |[0-9]+\. )Test: ([a-z0-9_:]+).*/\2/p' KNOWN-RED.txt)
cargo test --workspace --locked -- "${skipped[@]}"
# Each of these tests needs the machine for itself.
cargo test -p arbutuslane_platform --test clients --locked -- --test-threads=1 "${skipped[@]}"
