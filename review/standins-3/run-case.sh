#!/usr/bin/env bash
# run-case.sh NAME FOLDER: runs a case and writes FOLDER/record.txt. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
program="$root/target/review-3/release/cases"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/limewing" ]; then
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
TMPDIR="$folder" "$program" "$1" "$root" "$2/record.txt" &
pid=$!
set +m
wait "$pid"
code=$?
kill -KILL -- "-$pid" 2>/dev/null
pid=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
