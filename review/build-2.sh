#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p rail_site_standin
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stage review/stage-2/main.rs
