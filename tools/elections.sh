#!/usr/bin/env bash
# Measures the time without a leader in virtual time. Usage: tools/elections.sh [seeds, 10000]
set -euo pipefail
cd "$(dirname "$0")/.."
ARBUTUSLANE_ELECTIONS="${1:-10000}" cargo test --release --locked -p arbutuslane_consensus \
    --test elections -- --nocapture
