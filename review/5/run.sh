#!/usr/bin/env bash
# Exits with 1 if LIMIT was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out,
# KILL=0 the kill alone.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/src-2/bin/review2 ] || [ ! -x target/oleanderd ]; then
	echo "build first: deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
timeout -k 5 110 review/src-2/bin/review2 late-order target/oleanderd review/5/record.txt
rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
