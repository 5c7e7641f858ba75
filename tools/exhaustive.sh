#!/usr/bin/env bash
# Explores all orders of events in a small control group and prints the number of states.
# Usage: tools/exhaustive.sh [steps, 9 by default]
set -euo pipefail
cd "$(dirname "$0")/.."
ARBUTUSLANE_DEPTH="${1:-9}" cargo test --release --locked -p arbutuslane_consensus \
    --test exhaustive -- --nocapture
