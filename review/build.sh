#!/bin/sh
# Builds the stand-ins and checks of the scripts in review/. Needs the Rust toolchain only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/kit/main.rs -o target/review/kit
