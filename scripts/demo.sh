#!/usr/bin/env bash
# Starts everything, plans and confirms two groups, sends mixed traffic, kills a box and a daemon
# on the way, and shows what happened. The last line counts the requests.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=target/release
cli() { "$bin/cherrystand" --at "127.0.0.1:742$1" "${@:2}"; }
pid_of() { sed -nE "s/.*\"name\":\"$1\",\"pid\":([0-9]+).*/\1/p" run/processes.jsonl; }

trap 'scripts/down.sh' EXIT
scripts/up.sh >/dev/null
echo "demo: started $(wc -l <run/processes.jsonl) processes"

wait_for() { # what, command...
    local what=$1
    shift
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.2
    done
    echo "demo: gave up waiting for $what" >&2
    exit 1
}
serving() { cli 1 --json status | grep -q "\"serving\":$1,\"wanted\":2"; }

wait_for "the daemons" cli 3 plan demo/photo.toml
plan=$(cli 1 --json plan demo/photo.toml | sed -E 's/.*"id":"([^"]+)".*/\1/')
cli 1 plans | sed -n '1,8p'
wait_for "the plan to be confirmed" cli 1 confirm "$plan"
echo "demo: confirmed $plan"
model_serves() { cli 1 --json status | grep -Eq '"group":"photo/captions","kind":"model","serving":2'; }
wait_for "two replicas" model_serves

"$bin/cherrystand_load" --name demo --rate 120 --seconds 18 \
    --daemon 127.0.0.1:7411 --daemon 127.0.0.1:7412 --daemon 127.0.0.1:7413 \
    --service 127.0.0.1:7301 --service 127.0.0.1:7302 \
    --engine 127.0.0.1:7201 --engine 127.0.0.1:7203 --engine 127.0.0.1:7204 --engine 127.0.0.1:7205 \
    >run/load.out &
load=$!
sleep 5
echo "demo: killing box-2 (pid $(pid_of box-2)), a member of photo/captions/0"
kill -KILL "$(pid_of box-2)"
sleep 6
echo "demo: killing entry-3 (pid $(pid_of entry-3))"
kill -KILL "$(pid_of entry-3)"
status=0
wait "$load" || status=$?

echo
cli 1 explain photo/captions/0
echo
cli 1 status | sed -n '1,9p'
echo
cat run/load.out
exit "$status"
