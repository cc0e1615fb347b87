#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name standins -o target/review/standins review/standins/main.rs
