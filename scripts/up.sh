#!/usr/bin/env bash
# Starts the platform's stand-in, five engines, two plain services and three daemons, and prints
# a JSON line for each process. `down.sh` ends exactly those.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=target/release
run=run
if [ -e "$run/processes.jsonl" ]; then
    echo "up: already running; end it with 'make down'" >&2
    exit 1
fi
mkdir -p "$run"

start() { # name role address command...
    local name=$1 role=$2 address=$3
    shift 3
    "$@" >"$run/$name.out" 2>"$run/$name.log" &
    local line="{\"name\":\"$name\",\"pid\":$!,\"address\":\"$address\",\"role\":\"$role\"}"
    echo "$line" >>"$run/processes.jsonl"
    echo "$line"
}

boxes=""
for n in 1 2 3 4 5; do
    zone=amman-a
    boxes+="{\"id\":\"box-$n\",\"domain\":\"hall-1\",\"zone\":\"$zone\",\"address\":\"127.0.0.1:720$n\"},"
done
cat >"$run/inventory.json" <<JSON
{"version":1,"boxes":[${boxes%,}],"nodes":["entry-1","entry-2","entry-3"]}
JSON

start platform platform 127.0.0.1:7100 \
    "$bin/cherrystand_standin" platform --listen 127.0.0.1:7100 --inventory "$run/inventory.json"
for n in 1 2 3 4 5; do
    start "box-$n" engine "127.0.0.1:720$n" \
        "$bin/cherrystand_standin" engine --listen "127.0.0.1:720$n" --platform 127.0.0.1:7100
done
for n in 1 2; do
    start "consent-$n" service "127.0.0.1:730$n" \
        "$bin/cherrystand_standin" service --listen "127.0.0.1:730$n"
done
for n in 1 2 3; do
    zone=amman-a
    [ "$n" = 3 ] && zone=amman-b
    cat >"$run/entry-$n.toml" <<TOML
node = "entry-$n"
zone = "$zone"
seeds = ["127.0.0.1:7431", "127.0.0.1:7432", "127.0.0.1:7433"]

[listen]
callers = "127.0.0.1:741$n"
operators = "127.0.0.1:742$n"
peers = "127.0.0.1:743$n"

[platform]
address = "127.0.0.1:7100"

[repair]
probe_ms = 500
load_seconds = 1.0
rejoin_seconds = 0.5
restart_seconds = 20.0
restart_share = 0.5

[stop]
linger_ms = 1000
TOML
    start "entry-$n" daemon "127.0.0.1:741$n" "$bin/cherrystandd" --settings "$run/entry-$n.toml"
done
