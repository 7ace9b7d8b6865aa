#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
export ROOT="$PWD/../.." RECORD="$PWD/record.txt"
program="../target/case-$(basename "$PWD")"
[ -x "$program" ] && [ -x "$ROOT/target/release/oakport" ] || { echo "build first: deploy file, review/build.sh"; exit 2; }
# Temporary files go here. Every proxy that the case starts is named in `pids`, and ended also if the case itself is.
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR PIDS="$TMPDIR/pids"
clean() {
    while read -r pid; do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = oakport ] && kill -KILL "$pid"
    done 2>/dev/null <"$PIDS"
    rm -rf "$TMPDIR"
}
trap clean EXIT
trap 'exit 2' INT TERM
# The stand-ins hold a socket for each connection.
ulimit -Sn "$(ulimit -Hn)"
timeout 110 "$program"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
