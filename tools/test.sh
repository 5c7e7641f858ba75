#!/usr/bin/env bash
# Runs all tests of the workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo test --workspace --locked
