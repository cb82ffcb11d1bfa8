#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/fleet-3 review/fleet-3.rs
