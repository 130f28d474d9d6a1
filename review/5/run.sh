#!/bin/sh
# Runs the case; its stand-ins are built by review/build-2.sh. Exit code 1: the rule was broken, 0: it held, 2: it could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/release/case5 ] || sh review/build-2.sh >&2 || exit 2
# The processes of the fleet are noted here: what is left of them is ended, however the case ends.
REVIEW_PIDS="${TMPDIR:-/tmp}/review-2-$$.pids"
export REVIEW_PIDS
target/review-2/release/case5 &
case=$!
end_all() {
    kill -9 "$case" 2>/dev/null
    [ -f "$REVIEW_PIDS" ] && xargs kill -9 <"$REVIEW_PIDS" 2>/dev/null
    rm -f "$REVIEW_PIDS"
    rm -rf "${TMPDIR:-/tmp}/review-2-$case"
}
trap 'end_all; exit 2' INT TERM HUP
wait "$case"
code=$?
end_all
# Ended by a signal: the case did not run.
[ "$code" -le 2 ] || code=2
exit "$code"
