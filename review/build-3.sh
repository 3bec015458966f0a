#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/stage-3/Cargo.toml --target-dir target/review-3
