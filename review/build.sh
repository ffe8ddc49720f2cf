#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts, with the compiler alone. The daemons are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-harness review/harness/main.rs
