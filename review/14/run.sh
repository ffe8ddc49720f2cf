#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
program=target/review-3/release/review-harness-3
[ -x "$program" ] && [ -x target/release/pimentoslipd ] || { echo "build first: cargo build --release, review/build-3.sh" >&2; exit 2; }
RECORD="$folder/record.txt" timeout --kill-after=5 115 "$program" handover > /dev/null
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
