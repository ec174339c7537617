#!/bin/sh
# Plays the case with the pilot of the deploy file. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x bin/indigousher ] && [ -x review/bin/standin2 ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/standin2 -case retry -rule duplicate -trouble=$trouble -run "$run" -record review/8/record.txt -seed "${SEED:-1}"
