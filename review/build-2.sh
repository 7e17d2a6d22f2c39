#!/usr/bin/env bash
# Builds the stand-ins of the second review, with the Rust compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in spoilt_version spoilt_carried kept_verdict; do
    rustc --edition 2024 -O -o "target/review-2/$name" "review/stand_ins_2/$name.rs"
done
