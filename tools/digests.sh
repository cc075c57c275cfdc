#!/usr/bin/env bash
# Compares digests with the recorded ones (tools/digests.txt): hashes over the complete output of each I/O-free core for 20 fixed
# seeds. A changed digest means changed behaviour.
# Usage: tools/digests.sh [NAME...]; checks all digests if no name is given.
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
status=0
for name in "${names[@]}"; do
  expected=$(grep -E "^digest $name " tools/digests.txt || true)
  measured=$(grep -E "^digest $name " "$log" || true)
  if [ -n "$measured" ] && [ "$measured" = "$expected" ]; then
    echo "same: $measured"
  else
    echo "moved: expected '${expected:-nothing}', measured '${measured:-nothing}'" >&2
    status=1
  fi
done
exit "$status"
