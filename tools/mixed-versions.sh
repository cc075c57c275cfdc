#!/usr/bin/env bash
# Do two builds of this program work beside each other, and on each other's files? One line a case; fails if one fails.
# Usage: tools/mixed-versions.sh OLD NEW; each a folder with the built programs (`limewing`). Loopback only, ports chosen by the
# system, bounded in time (about two minutes). Needs python3.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/mixed_versions.py "$@"
