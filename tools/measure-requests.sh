#!/bin/sh
# Repeats the measurements under "Requests under gray failure" in docs/MEASUREMENTS.md.
# Usage: tools/measure-requests.sh FOLDER [THREADS]
set -eu
out=${1:?the folder for result files}
threads=${2:-4}
mkdir -p "$out"
cargo build --release --locked -p arbutuslane_bench
bench=target/release/arbutuslane-bench
status=0
"$bench" detect --seeds 40 --threads "$threads" --out "$out/detect.json" > "$out/detect.md"
"$bench" matrix "$out/detect.json" > "$out/matrix.md"
"$bench" overload --seeds 20 --threads "$threads" --out "$out/overload.json" > "$out/overload.md"
"$bench" soak --hours 24 --load 60 --policy few_false_ejections --seeds 2 --threads "$threads" \
    --out "$out/soak.json" > "$out/soak.md"
for file in detect overload soak; do
    "$bench" check "$out/$file.json" || status=1
done
"$bench" cost --svg "$out/decision-cost.svg" || status=1
exit "$status"
