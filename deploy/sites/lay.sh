#!/usr/bin/env bash
# Lays beside each made site what the bench wants there, from the folder that holds the bench's own site.
# Usage: deploy/sites/lay.sh FOLDER
set -euo pipefail
from=${1:?the folder that holds real.json, wire.json and unlock.txt}
here=$(dirname "$0")
for site in "$here"/*/site.toml; do
  for file in real.json wire.json unlock.txt; do
    cp "$from/$file" "$(dirname "$site")/$file"
  done
done
