#!/usr/bin/env bash
# A sampler answers a few requests for streams without end.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.."
[ -x target/release/pimentoslipd ] && [ -x target/review/review-harness ] || exit 2
exec target/review/review-harness endless review/5/record.txt
