#!/usr/bin/env bash
# Runs the consensus implementation under random schedules of events and prints violations.
# Usage: tools/consensus-schedules.sh [number of schedules, 100000 by default] [seed, 1 by default]
set -euo pipefail
cd "$(dirname "$0")/.."
export ARBUTUSLANE_SCHEDULES="${1:-100000}" ARBUTUSLANE_SEED="${2:-1}"
cargo test --release --locked -p arbutuslane_consensus --test schedules -- --nocapture schedules_random schedules_quick_restart
