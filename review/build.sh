#!/bin/sh
# Builds the stand-ins of the cases: one program without dependencies, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
