#!/bin/sh
# Builds the stand-ins and the drivers of the cases from 4 on, with the standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
