#!/usr/bin/env bash
# Stops two nodes in turn while a lookup runs that takes longer than usual.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves out
# the disruption. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/given_up
if [[ ! -x $program || ! -x target/release/arbutuslane-platform-control ]]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
exec "$program" review/10
