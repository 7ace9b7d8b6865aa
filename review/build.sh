#!/usr/bin/env bash
# Builds the programs of the cases, with all their stand-ins, into review/target. Needs rustc and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target
for case in [0-9]*/case.rs; do
    rustc --edition 2021 -O -o "target/case-$(dirname "$case")" "$case"
done
