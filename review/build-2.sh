#!/bin/sh
# Builds the stand-ins of the second review into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin2 ./review/standin2
go build -o review/bin/standin3 ./review/standin3
go build -o review/bin/standin4 ./review/standin4
