#!/bin/sh
# Builds the stand-ins of the scripted cases, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -C debuginfo=0 -o target/review/cases review/standin/main.rs
