#!/bin/sh
# Builds the stand-ins of the cases. Needs no network and no package.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
