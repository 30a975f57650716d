#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 and on start. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/standins-3/stand.rs
