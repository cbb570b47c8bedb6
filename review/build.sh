#!/bin/sh
# Builds the stand-ins of the review's cases. Needs rustc alone: they use the standard library and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/standin standin/main.rs
