#!/bin/sh
# Builds the stand-ins of the second review's scripts, offline: they use the standard library alone.
# The fleet itself is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
