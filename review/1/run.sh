#!/bin/sh
# Case 1. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lichenswitch-fleet ] || cargo build --release --locked -p lichenswitch-fleet >&2 || exit 2
sh review/build.sh >&2 || exit 2
# The program ends the processes that it starts; those of one that is ended are noted here, and ended with it.
REVIEW_PIDS="${TMPDIR:-/tmp}/lichen-review-$$.pids"
export REVIEW_PIDS
target/review/release/case1 review/1 &
program=$!
end_all() {
    kill -9 "$program" 2>/dev/null
    [ -f "$REVIEW_PIDS" ] && xargs kill -9 <"$REVIEW_PIDS" 2>/dev/null
    rm -f "$REVIEW_PIDS"
    rm -rf "${TMPDIR:-/tmp}/lichen-review-$program"
}
trap 'end_all; exit 2' INT TERM HUP
wait "$program"
code=$?
end_all
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
