#!/bin/sh
# Builds the stand-ins of the third review's scripts, after the build of the deploy file. They need
# the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/standin-3/main.rs
