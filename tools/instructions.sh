#!/usr/bin/env bash
# Measures the instructions that a sidecar executes per request with valgrind's callgrind. Repeated runs of the same code agree
# within 4%, independent of other load on the machine. The result is the difference between a run with many requests and one
# with few, which excludes startup and idle time.
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
addresses=()
while ((${#addresses[@]} < pods)); do
    read -r _ address <&"${PODS[0]}"
    addresses+=("$address")
done
settings=$("$limewing" load settings --folder "$folder" "${addresses[@]}")
# Sends load at the given request rate to a sidecar for 8 s. Writes the instruction and request counts to two files.
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
requests=$(($(< "$folder/hits.500") - $(< "$folder/hits.20")))
echo "$pods pods: $((($(< "$folder/cost.500") - $(< "$folder/cost.20")) / requests)) instructions a hit, over $requests hits"
# Lists the most expensive functions, including their callees, as shares of the run at the high rate.
callgrind_annotate --inclusive=yes "$folder/out.500" | grep 'limewing' |
    sed -nE 's/^ *[0-9,]+ \( *([0-9.]+%)\) +[^:]*:(limewing[^[]*[^[ ]).*/\1  \2/p' | awk '!seen[$2]++' | sed -n '1,20p'
