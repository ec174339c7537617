#!/bin/sh
# Builds the stand-ins that the cases start. Needs the Go tool chain and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
