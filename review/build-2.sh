#!/usr/bin/env bash
# Builds the stand-ins of the second review. They have no dependencies, so no network is needed.
set -euo pipefail
review=$(cd "$(dirname "$0")" && pwd)
for standins in 2 3; do
  cd "$review/standins-$standins"
  cargo build --release --offline --locked --target-dir "$review/../target/review-$standins"
done
