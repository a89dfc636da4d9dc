#!/bin/sh
# Builds the stand-ins and clients of the scripts in review/11 and later. It needs no network.
set -e
cd "$(dirname "$0")/rig3"
CARGO_TARGET_DIR=../../target/rig3 cargo build --release --offline
