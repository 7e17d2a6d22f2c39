#!/usr/bin/env bash
# Plays the soak with many seeds, a few side by side, and prints those that broke a promise.
# usage: scripts/soak.sh FIRST_SEED COUNT [SIDE_BY_SIDE] [--lives]
set -euo pipefail
if [ $# -lt 2 ]; then
    echo "usage: scripts/soak.sh FIRST_SEED COUNT [SIDE_BY_SIDE]" >&2
    exit 2
fi
first=$1 count=$2 side=${3:-4} lives=${4:-}
cd "$(dirname "$0")/.."
make --quiet build-release
logs=$(mktemp -d)
seq "$first" $((first + count - 1)) | xargs -P "$side" -I SEED sh -c \
    "target/release/cherrystand_soak $lives --seed SEED --dir $logs/SEED > $logs/SEED.txt 2>&1 || echo SEED >> $logs/failed"
if [ -f "$logs/failed" ]; then
    echo "$(wc -l < "$logs/failed") of $count seeds broke a promise; logs are in $logs:"
    sort -n "$logs/failed"
    exit 1
fi
rm -r "$logs"
echo "$count seeds, no promise broken"
