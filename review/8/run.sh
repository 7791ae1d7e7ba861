#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/calls
if [ ! -x "$program" ] || [ ! -x target/release/sapphirekeeld ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
"$program" review/8/record.txt &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' INT TERM HUP
wait "$child"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
