#!/usr/bin/env bash
# Installs what the build needs beyond a Rust toolchain, where it is missing.
set -euo pipefail
if ! command -v cargo >/dev/null; then
    echo "set-up: a Rust toolchain is needed: https://rustup.rs" >&2
    exit 1
fi
# nng's C library is built with cmake and a C compiler.
missing=()
command -v cmake >/dev/null || missing+=(cmake)
command -v cc >/dev/null || missing+=(gcc libc6-dev)
if [ "${#missing[@]}" -gt 0 ]; then
    if ! command -v apt-get >/dev/null; then
        echo "set-up: please install: ${missing[*]}" >&2
        exit 1
    fi
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi
