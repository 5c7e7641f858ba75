#!/usr/bin/env bash
# Runs random consensus schedules (100,000 unless a number is given) and prints the violations.
set -euo pipefail
cd "$(dirname "$0")/.."
export ARBUTUSLANE_SCHEDULES="${1:-100000}" ARBUTUSLANE_SEED="${2:-1}"
cargo test --release --locked -p arbutuslane_consensus --test schedules -- --nocapture schedules_random schedules_quick_restart
