#!/usr/bin/env bash
# Compares the decision digests with those on record (tools/digests.txt): hashes of all that each core without I/O puts out over
# 20 fixed seeds. A digest that moves means that behaviour moved.
# Usage: tools/digests.sh [NAME...]; with no name, all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
declare -A package=(
  [consensus]=limewing-consensus [membership]=limewing-membership [replication]=limewing-replication
  [maintenance]=limewing-maintenance [coordination]=limewing-coordination [decision]=limewing-reference-model
  [reference-model]=limewing-reference-model
)
names=("$@")
[ ${#names[@]} -gt 0 ] || names=(decision reference-model consensus membership replication maintenance coordination)
arguments=()
for name in "${names[@]}"; do
  arguments+=(-p "${package[$name]:?no digest named $name}")
done
log=$(mktemp)
trap 'rm -f "$log"' EXIT
cargo test --locked --test digest "${arguments[@]}" -- --ignored --nocapture | grep -oE 'digest [a-z-]+ [0-9a-f]{16}' > "$log" || true
moved=0
for name in "${names[@]}"; do
  expected=$(grep -E "^digest $name " tools/digests.txt || true)
  measured=$(grep -E "^digest $name " "$log" || true)
  if [ -n "$measured" ] && [ "$measured" = "$expected" ]; then
    echo "same: $measured"
  else
    echo "moved: expected '${expected:-nothing}', measured '${measured:-nothing}'" >&2
    moved=1
  fi
done
exit "$moved"
