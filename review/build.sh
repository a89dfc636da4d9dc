#!/bin/bash
# Builds the stand-ins that the scripts of the review start. Needs no network after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --offline --locked --release \
    --manifest-path review/standin/Cargo.toml --target-dir target/review
