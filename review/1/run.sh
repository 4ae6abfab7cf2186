#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
# --seed N: another seed of the ids.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x "bin/review-${here##*/}" ] || exit 2
exec "bin/review-${here##*/}" "$@" "$here"
