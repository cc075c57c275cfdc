#!/usr/bin/env bash
# Builds the stand-ins of the second review. They have no dependencies, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked --target-dir ../../target/review-2
