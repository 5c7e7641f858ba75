#!/usr/bin/env bash
# Measures in virtual time how long a control group is without a leader.
# Usage: tools/elections.sh [number of seeds, 10000 by default]
set -euo pipefail
cd "$(dirname "$0")/.."
ARBUTUSLANE_ELECTIONS="${1:-10000}" cargo test --release --locked -p arbutuslane_consensus \
    --test elections -- --nocapture
