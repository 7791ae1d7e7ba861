#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# disruption is left out.
case "$0" in /*) here=$(dirname "$0") ;; *) here=$(pwd)/$(dirname "$0") ;; esac
cd "$here/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/standin calls "$here/record.txt"
