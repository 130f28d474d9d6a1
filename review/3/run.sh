#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lichenswitch-fleet ] || cargo build --release --locked --offline -p lichenswitch-fleet >&2 || exit 2
sh review/build.sh >&2 || exit 2
exec target/review/release/case3 review/3
