#!/usr/bin/env bash
# Checks the properties of membership, quorum registers and the agreement on items under many random schedules.
# Usage: tools/schedules.sh [number of schedules, 10000 by default]
set -euo pipefail
cd "$(dirname "$0")/.."
SCHEDULES="${1:-10000}" cargo test --release --locked -p arbutuslane_record -p arbutuslane_member -p arbutuslane_item \
    --tests -- --nocapture
