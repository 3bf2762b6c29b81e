#!/usr/bin/env bash
# Runs a scripted case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
folder="$(cd "$2" && pwd)"
REPOSITORY="$(cd "$(dirname "$0")/.." && pwd)"
SETTINGS="$(mktemp -d)"
export REPOSITORY SETTINGS
trap 'rm -rf "$SETTINGS"' EXIT
program="$REPOSITORY/target/review/standin"
if [ ! -x "$program" ] || [ ! -x "$REPOSITORY/target/release/pinhaven" ]; then
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
fi
timeout --kill-after=2 110 "$program" "$1" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
