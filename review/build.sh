#!/bin/sh
# Builds the stand-ins of the cases into target/review. They need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand_ins/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = base ] && continue
    rustc --edition 2024 -O -o "target/review/$name" "$source"
done
