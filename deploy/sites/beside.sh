#!/bin/sh
# Puts the kit's files that a site needs beside our variants for a run of the bench; git ignores them.
# usage: deploy/sites/beside.sh FOLDER (the one that holds gate-prod.toml)
set -eu
here=$(dirname "$0")
for f in real.json wire.json unlock.txt; do
	cp "$1/$f" "$here/$f"
	chmod u+w "$here/$f"
done
