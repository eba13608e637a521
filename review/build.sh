#!/bin/sh
# Builds every stand-in that the scripts under review/ start. Needs no network.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
