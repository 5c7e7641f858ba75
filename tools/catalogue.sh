#!/usr/bin/env bash
# Measures commits and restarts of control instances whose data folders are under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/measure
export TMPDIR="$PWD/target/measure"
measure() { cargo run --quiet --release --locked -p arbutuslane_control --example measure -- "$@"; }
measure commits 2000
measure restart 0
measure restart 500
measure restart 50000
