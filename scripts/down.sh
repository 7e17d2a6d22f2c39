#!/usr/bin/env bash
# Ends exactly the processes that `up.sh` started: daemons by a planned stop, the rest at once.
set -euo pipefail
cd "$(dirname "$0")/.."
list=run/processes.jsonl
[ -e "$list" ] || exit 0

pids_of() { sed -nE "s/.*\"pid\":([0-9]+).*\"role\":\"$1\".*/\1/p" "$list"; }

# A number that meanwhile belongs to another program is left alone.
ours() { { tr '\0' ' ' <"/proc/$1/cmdline"; } 2>/dev/null | grep -q 'cherrystand'; }

for pid in $(pids_of daemon); do
    if ours "$pid"; then kill -TERM "$pid" || true; fi
done
for pid in $(pids_of daemon); do
    for _ in $(seq 100); do
        ours "$pid" || break
        sleep 0.1
    done
    if ours "$pid"; then kill -KILL "$pid" || true; fi
done
for role in engine service platform; do
    for pid in $(pids_of "$role"); do
        if ours "$pid"; then kill -KILL "$pid" || true; fi
    done
done
mv "$list" run/last-processes.jsonl
