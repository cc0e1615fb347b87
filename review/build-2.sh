#!/usr/bin/env bash
# Builds the stand-ins of the second review, which need nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
