#!/bin/sh
# Prepares the stand-ins of the cases 4 to 6, after `sh deploy/build`: they use its libraries, and need no others.
set -eu
cd "$(dirname "$0")/.."
test -d target/app/cbor2 || { echo "run 'sh deploy/build' first" >&2; exit 1; }
python3 -m compileall -q review/standins2
