#!/bin/sh
# Builds the stand-ins and drivers of the scripts in review/6 to review/10. Needs no network after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/rig"
CARGO_TARGET_DIR=../../target/rig exec cargo build --release --locked --offline
