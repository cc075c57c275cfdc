#!/usr/bin/env bash
# Instructions that a sidecar spends on a hit, by valgrind's callgrind: within 4% for the same text, whatever else the
# machine does. A run with many hits less one with few, so that start and idle time do not count.
# Usage: tools/instructions.sh [PODS]; needs valgrind and target/release/limewing.
set -euo pipefail
cd "$(dirname "$0")/.."
pods=${1:-14}
limewing=target/release/limewing
folder=$(mktemp -d)
ended() { kill "$1" 2>/dev/null || true; wait "$1" 2>/dev/null || true; }
coproc PODS { exec "$limewing" load pods "$pods" < /dev/null; }
pods_pid=$PODS_PID
trap 'ended "$pods_pid"; rm -rf "$folder"' EXIT
at=()
while ((${#at[@]} < pods)); do
    read -r _ address <&"${PODS[0]}"
    at+=("$address")
done
settings=$("$limewing" load settings --folder "$folder" "${at[@]}")
# Runs a sidecar through so many hits a second for 8 s; leaves instructions and hits in two files.
count() {
    mkfifo "$folder/told.$1"
    valgrind --tool=callgrind --callgrind-out-file="$folder/out.$1" "$limewing" sidecar "$settings" \
        > "$folder/told.$1" 2> /dev/null &
    local sidecar=$! address
    read -r _ address < "$folder/told.$1"
    "$limewing" load hits "$address" --hits-per-s "$1" --seconds 8 | sed 's/ hits.*//' > "$folder/hits.$1"
    ended "$sidecar"
    sed -n 's/^summary: //p;s/^totals: //p' "$folder/out.$1" | head -n 1 > "$folder/cost.$1"
}
count 20
count 500
hits=$(($(< "$folder/hits.500") - $(< "$folder/hits.20")))
echo "$pods pods: $((($(< "$folder/cost.500") - $(< "$folder/cost.20")) / hits)) instructions a hit, over $hits hits"
# The functions that cost the most, with what they call, as shares of the busy run.
callgrind_annotate --inclusive=yes "$folder/out.500" | grep 'limewing' |
    sed -nE 's/^ *[0-9,]+ \( *([0-9.]+%)\) +[^:]*:(limewing[^[]*[^[ ]).*/\1  \2/p' | awk '!seen[$2]++' | sed -n '1,20p'
