#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the standard library alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for source in review/*/case-2.rs; do
    number="$(basename "$(dirname "$source")")"
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$source"
done
