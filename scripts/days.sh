#!/usr/bin/env bash
# Plays every day of days/ on a site, and prints a line for each.
# usage: scripts/days.sh BENCH SITE [PATTERN]
set -euo pipefail
if [ $# -lt 2 ]; then
    echo "usage: scripts/days.sh BENCH SITE [PATTERN]" >&2
    exit 2
fi
bench=$1 site=$2 pattern=${3:-}
cd "$(dirname "$0")/.."
# Days name the site's model service, the first one of its file.
service=$(sed -n 's/.*{ name = "\([^"]*\)", model = .*/\1/p' "$site" | head -1)
scratch=$(mktemp -d)
trap 'rm -r "$scratch"' EXIT
broken=0
for day in days/*"$pattern"*.toml; do
    name=$(basename "$day" .toml)
    sed "s/SERVICE/$service/" "$day" > "$scratch/$name.toml"
    "$bench" run "$site" "$scratch/$name.toml" --why "days/$name" > "$scratch/out" 2>&1 || true
    line=$(grep -m1 -E "^$name " "$scratch/out" || echo "$name: not played: $(tail -1 "$scratch/out")")
    echo "$line"
    if grep -q -E 'BROKEN|not played|FAULT' <<< "$line"; then
        broken=$((broken + 1))
        grep -E '^[A-Z]+ at ' "$scratch/out" | head -3 | cut -c1-300 || true
    fi
done
echo "$broken days with a rule broken or not played"
