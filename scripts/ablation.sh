#!/usr/bin/env bash
# Plays sites with each decision switched off in turn, on a copy of the tree, and prints what each is worth.
# usage: scripts/ablation.sh BENCH OUT_DIR SEEDS JOBS SITE [SWITCH...]
#   SEEDS: as for score_sites.py; SWITCH: a line of the table [policy], by default each that is on.
set -euo pipefail
if [ $# -lt 5 ]; then
    sed -n '2,4s/^# //p' "$0" >&2
    exit 2
fi
bench=$(realpath "$1") out=$(realpath -m "$2") seeds=$3 jobs=$4 site=$(realpath "$5")
shift 5
switches=("$@")
if [ ${#switches[@]} -eq 0 ]; then
    switches=('choice = "earliest"' 'choice = "fewest-in-flight"' 'choice = "two-at-random"'
        'far_cost = 0.0' 'defer_late = false' 'tell_loads = false'
        'ask_peers = false' 'resume_elsewhere = false' 'serve_unlisted = false' 'home_models = false'
        'warm_spares = false' 'retry_share = false' 'readers = false')
fi
cd "$(dirname "$0")/.."
mkdir -p "$out"
copy=$(mktemp -d)
scratch=$copy
trap 'rm -rf "$scratch"' EXIT
mkdir -p "$copy/tree"
copy=$copy/tree
git ls-files -z | tar cf - --null -T - | tar xf - -C "$copy"
cp -r .git "$copy/.git"
cd "$copy"
cp deploy/settings.toml.in default.toml.in

play() {
    scripts/score_sites.py play "$bench" --why "ablation: $1" --seeds "$seeds" --jobs "$jobs" \
        --out "$out/$2.json" "$site" > "$out/$2.txt"
}

play "everything on" default
for switch in "${switches[@]}"; do
    name=$(tr -cs 'a-z0-9' '-' <<< "$switch" | sed 's/-$//')
    { cat default.toml.in; printf '\n[policy]\n%s\n' "$switch"; } > deploy/settings.toml.in
    play "$switch" "$name"
    echo "== $switch"
    scripts/score_sites.py compare "$out/default.json" "$out/$name.json"
done
cp -r journal "$out/"
