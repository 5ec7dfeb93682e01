#!/bin/sh
# Put everything that the scripts of the review start into target/review, compiled.
# Runs after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
cp -r standins "$out/standins"
cp review/harness.py "$out/"
python3 -m compileall -q "$out"
