#!/usr/bin/env bash
# Runs one case: run.sh FOLDER. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
set -u
folder="$(cd "$1" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$root/target/review-2/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/oakport" ]; then
    echo "could not run: build first (the deploy file's build, then review/build-2.sh)"
    exit 2
fi
temporary="$(mktemp -d)"
end_all() {
    # Only programs that the case has noted as started by it.
    [ -f "$temporary/ids" ] && while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$temporary/ids"
    rm -rf "$temporary"
}
trap end_all EXIT
CASE_DIR="$folder" CASE_ROOT="$root" CASE_TMP="$temporary" TROUBLE="${TROUBLE:-1}" \
    timeout --kill-after=2 115 "$program"
code=$?
if [ -f "$temporary/proxy.log" ]; then
    { echo "--- the proxy's log"; head -c 60000 "$temporary/proxy.log"; } >>"$folder/record.txt"
fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
