#!/usr/bin/env bash
# Exits with 1 if an answer that broke off looked whole to its caller, with 0 if none did, and with 2 if
# the case couldn't run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
daemon=target/release/cherrystandd
stand_in=target/review-2/spoilt_carried
[ -x "$daemon" ] && [ -x "$stand_in" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 100 "$stand_in" "$daemon" "$folder" review/5/record.txt "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
