#!/bin/bash
# Builds the stand-ins of the second review's cases: discovery, instances, clients and the platform, in one program. They use the
# standard library alone, so the compiler suffices, without a network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings --crate-name cases -o target/review-2/cases review/standins-2/main.rs
