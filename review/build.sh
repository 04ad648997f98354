#!/bin/sh
# Builds the stand-ins of the cases: they are Python, need the libraries that deploy/build put under target/app, and
# are compiled into review/target, so that nothing is compiled while a case runs.
set -eu
cd "$(dirname "$0")/.."
test -d target/app/cbor2
python3 -m compileall -q review/standins review/[0-9]*
