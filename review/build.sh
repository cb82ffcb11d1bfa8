#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the scripts in this folder, with the standard library only.
# Run it in the repository, or from anywhere, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
rustc --edition 2024 -C opt-level=2 --crate-type rlib --crate-name standin standin.rs -o "$out/libstandin.rlib"
for driver in [1-5]/case.rs; do
  [ -f "$driver" ] || continue
  rustc --edition 2024 -C opt-level=2 --crate-name case "$driver" \
    --extern standin="$out/libstandin.rlib" -o "$out/case-$(dirname "$driver")"
done
