#!/usr/bin/env bash
# Runs a case, whose number is the first argument: exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
number=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
program="$root/target/review-2/release/case$number"
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ ! -x "$root/target/release/limewing" ] || [ -z "$run" ]; then
  echo "the build of the deploy file or review/build-2.sh is missing" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
pid=
finish() {
  # The program ends its sidecar itself; this is for a case that was cut off.
  [ -n "$pid" ] && kill -KILL -- "-$pid" 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
# The program and its sidecar get a process group of their own.
set -m
ROOT="$root" RUN="$run" TMPDIR="$folder" RECORD="$root/review/$number/record.txt" "$program" &
pid=$!
set +m
for _ in $(seq 1 1100); do
  kill -0 "$pid" 2>/dev/null || break
  sleep 0.1
done
if kill -0 "$pid" 2>/dev/null; then
  echo "the case took too long" >&2
  exit 2
fi
wait "$pid"
code=$?
kill -KILL -- "-$pid" 2>/dev/null
pid=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
