#!/bin/sh
# Repeats the measurements under "Requests under gray failure" in docs/MEASUREMENTS.md.
# Usage: tools/measure-requests.sh FOLDER [THREADS]
set -eu
out_dir=${1:?missing argument: the folder for result files}
threads=${2:-4}
mkdir -p "$out_dir"
cargo build --release --locked -p arbutuslane_bench
bench=target/release/arbutuslane-bench
exit_code=0
"$bench" detect --seeds 40 --threads "$threads" --out "$out_dir/detect.json" > "$out_dir/detect.md"
"$bench" matrix "$out_dir/detect.json" > "$out_dir/matrix.md"
"$bench" overload --seeds 20 --threads "$threads" --out "$out_dir/overload.json" > "$out_dir/overload.md"
"$bench" soak --hours 24 --load 60 --policy few_false_ejections --seeds 2 --threads "$threads" \
    --out "$out_dir/soak.json" > "$out_dir/soak.md"
for file in detect overload soak; do
    "$bench" check "$out_dir/$file.json" || exit_code=1
done
"$bench" cost --svg "$out_dir/decision-cost.svg" || exit_code=1
exit "$exit_code"
