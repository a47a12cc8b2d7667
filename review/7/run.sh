#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/release/review-standin-2
[ -x "$program" ] || { echo "review/build-2.sh has not been run"; exit 2; }
exec "$program" removed "$here"
