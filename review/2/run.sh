#!/usr/bin/env bash
# Plays the case against the daemons of the deploy file. 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 plays the same without the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=$folder/case
if [ ! -x "$program" ] || [ ! -x target/src/daemon/jackdawpickd ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout --kill-after=1 118 "$program" "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
