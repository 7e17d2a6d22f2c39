#!/usr/bin/env bash
# Plays every day of deploy/days/ on a site, and prints a line for each.
# usage: scripts/days.sh BENCH SITE [PATTERN]
set -euo pipefail
if [ $# -lt 2 ]; then
    echo "usage: scripts/days.sh BENCH SITE [PATTERN]" >&2
    exit 2
fi
bench=$1 site=$2 pattern=${3:-}
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm "$out"' EXIT
broken=0
for day in deploy/days/*"$pattern"*.toml; do
    name=$(basename "$day" .toml)
    "$bench" run "$site" "$day" --jobs 1 --why "deploy/days/$name" > "$out" 2>&1 || true
    line=$(grep -m1 -E "^$name " "$out" || echo "$name: not played: $(tail -1 "$out")")
    echo "$line"
    if grep -q -E 'BROKEN|not played|FAULT' <<< "$line"; then
        broken=$((broken + 1))
        grep -E '^[A-Z]+ at ' "$out" | head -3 | cut -c1-300 || true
    fi
done
echo "$broken days with a rule broken or not played"
