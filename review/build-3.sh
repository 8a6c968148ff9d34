#!/bin/sh
# Builds the programs of the cases of this review, which use the standard library alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3
for source in review/1[1-5]/case.rs; do
    test -f "$source" || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review-3/case-$number" "$source" || exit 1
done
