#!/usr/bin/env bash
# Measures commits and restarts of control instances with data folders under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/measure
export TMPDIR="$PWD/target/measure"
run() { cargo run --quiet --release --locked -p arbutuslane_control --example measure -- "$@"; }
run commits 2000
run restart 0
run restart 500
run restart 50000
